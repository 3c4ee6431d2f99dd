package state

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/retry"
)

// A few instances read the store and update the others: each read costs money, and the store
// sustains a bounded number a second from all of them. The readers follow from the membership
// alone. An instance whose reader is unresponsive, or has no recent answer from the store, goes to
// the next reader; when none is up to date, to the deputies, which then read the store themselves.
// So while the store is down a dozen instances call it and not hundreds, and while some instances
// are partitioned from it the others still receive changes in time. Instances without a source ask
// readers and deputies in turn meanwhile, and so learn when the store is back.

const (
	// minReaders instances read the store, and one more for each instancesPerReader: two so that
	// one may fail, and enough that a reader answers some tens of followers.
	minReaders         = 2
	instancesPerReader = 96
	// deputiesPerReader is the number of deputies for each reader. If a third of the instances is
	// partitioned from the store, the probability that these include all readers and deputies of a
	// small system is 1 in 500.
	deputiesPerReader = 2
	// rareReadPerInstance times the number of instances is how long an instance waits before it
	// reads the store itself when no reader or deputy is up to date: all instances together then
	// call the store some twenty times a second.
	rareReadPerInstance = 25 * clock.Milli(1)
	// maxUnanswered is how many readers or deputies in a row may fail to answer before the store is
	// read directly. They may all have lost power, and trying each of them takes longer than a view
	// stays valid.
	maxUnanswered = 2
	// membersWait bounds the wait for the first lookup of instances: an instance that does not know
	// the others reads the store itself.
	membersWait = 300 * time.Millisecond
	// readersRankKey is the key by which readers and deputies are ranked.
	readersRankKey = "readers of the store"
)

// source is where an instance gets its updates from.
type source int

const (
	// fromStore: it reads the store itself.
	fromStore source = iota
	// fromOther: it follows a reader or a deputy.
	fromOther
	// fromStoreRarely: no source is up to date, and it is neither a reader nor a deputy.
	fromStoreRarely
)

// sources are the instances that read the store for the others.
type sources struct {
	readers  []ident.Incarnation
	deputies []ident.Incarnation
}

// sourcesOf returns the readers and deputies among all instances, given in their rank order.
func sourcesOf(ranked []ident.Incarnation) sources {
	reads := min(len(ranked), minReaders+len(ranked)/instancesPerReader)
	all := min(len(ranked), reads*(1+deputiesPerReader))
	return sources{readers: ranked[:reads], deputies: ranked[reads:all]}
}

// choose returns where an instance gets its updates from, and the instance to follow; skip reports
// whether an instance is not to be asked now.
func (src sources) choose(self ident.Incarnation, skip func(who ident.Incarnation) bool) (ident.Incarnation, source) {
	if len(src.readers) < minReaders || slices.Contains(src.readers, self) {
		return "", fromStore
	}
	if who, ok := pickSource(src.readers, self, skip); ok {
		return who, fromOther
	}
	if slices.Contains(src.deputies, self) {
		return "", fromStore
	}
	if who, ok := pickSource(src.deputies, self, skip); ok {
		return who, fromOther
	}
	return "", fromStoreRarely
}

// pickSource returns the first instance of a list that is not skipped. Each instance starts at
// another position, so that followers are spread over the list.
func pickSource(list []ident.Incarnation, self ident.Incarnation, skip func(who ident.Incarnation) bool) (ident.Incarnation, bool) {
	if len(list) == 0 {
		return "", false
	}
	from := int(xxhash.Sum64String(string(self)) % uint64(len(list)))
	for i := range list {
		if who := list[(from+i)%len(list)]; !skip(who) {
			return who, true
		}
	}
	return "", false
}

// source returns where this instance gets its updates from now.
func (ctl *Control) source(now clock.Milli) (ident.Incarnation, source) {
	vw := ctl.View()
	if ctl.set.Link == nil || vw.plan == nil && vw.answeredAt == 0 {
		// The first documents come from the store: when all instances start at once none has any.
		return "", fromStore
	}
	return vw.sources.choose(ctl.set.Self, func(who ident.Incarnation) bool { return now < ctl.docs.backoff.until(who) })
}

// IsFollower reports whether this instance gets the contents of the store through others.
func (ctl *Control) IsFollower() bool {
	_, src := ctl.source(ctl.set.Clock.Now())
	return src == fromOther
}

// rareReadWait returns how long an instance waits before it reads the store rarely, by the number
// of instances.
func rareReadWait(instances int) clock.Milli {
	return retry.Jittered(rareReadPerInstance * clock.Milli(max(instances, 1)))
}
