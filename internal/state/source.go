package state

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/retry"
)

// A few instances read the store, and tell the others: each read is paid for, and
// the store bears so many a second from all of them. Who reads follows from the
// membership alone. An instance whose reader is silent, or has heard nothing from the
// store, goes to the next reader; when none has news, to the deputies, who read the
// store themselves then. So while the store is down a dozen instances ask it and not
// hundreds, and while a part of them is cut off from it the others still hear of a change
// in time. Those ask readers and deputies in turn meanwhile, and so hear of its return.

const (
	// readersLeast instances read the store, and one more for each readersPer:
	// two so that one may die, and so many that a reader answers some tens.
	readersLeast = 2
	readersPer   = 96
	// deputiesEach is how many deputies there are for each reader. If a third of the
	// instances is cut off from the store, all readers of a small system and its
	// deputies are with a chance of one in five hundred.
	deputiesEach = 2
	// rareEach times the number of instances is how long an instance waits before it
	// reads the store for itself when no reader or deputy has news: all of them
	// together ask it some twenty times a second then.
	rareEach = 25 * clock.Milli(1)
	// unansweredMost is how many readers or deputies in a row may give no answer before
	// the store is asked. They may all have lost power; then waiting for each of them
	// takes longer than a view lasts.
	unansweredMost = 2
	// othersWait bounds the wait for the first look at who else there is: whoever doesn't
	// know the others reads the store for itself.
	othersWait = 300 * time.Millisecond
	// readersName is what readers and deputies are ranked by.
	readersName = "readers of the store"
)

// source is where an instance has its news from.
type source int

const (
	// fromStore: it reads the store itself.
	fromStore source = iota
	// fromOther: it follows a reader or a deputy.
	fromOther
	// fromStoreRarely: nobody has news, and it is none of those who look for them.
	fromStoreRarely
)

// sources are the instances that look for news in the store.
type sources struct {
	readers  []ident.Incarnation
	deputies []ident.Incarnation
}

// sourcesOf takes readers and deputies from all instances in their order.
func sourcesOf(ranked []ident.Incarnation) sources {
	reads := min(len(ranked), readersLeast+len(ranked)/readersPer)
	looks := min(len(ranked), reads*(1+deputiesEach))
	return sources{readers: ranked[:reads], deputies: ranked[reads:looks]}
}

// choose tells where an instance has its news from, and from whom; silent tells of
// whom nothing is expected now.
func (src sources) choose(self ident.Incarnation, silent func(who ident.Incarnation) bool) (ident.Incarnation, source) {
	if len(src.readers) < readersLeast || slices.Contains(src.readers, self) {
		return "", fromStore
	}
	if who, ok := pickSource(src.readers, self, silent); ok {
		return who, fromOther
	}
	if slices.Contains(src.deputies, self) {
		return "", fromStore
	}
	if who, ok := pickSource(src.deputies, self, silent); ok {
		return who, fromOther
	}
	return "", fromStoreRarely
}

// pickSource gives the first of a list that isn't silent. Each instance begins elsewhere
// in it.
func pickSource(list []ident.Incarnation, self ident.Incarnation, silent func(who ident.Incarnation) bool) (ident.Incarnation, bool) {
	if len(list) == 0 {
		return "", false
	}
	from := int(xxhash.Sum64String(string(self)) % uint64(len(list)))
	for i := range list {
		if who := list[(from+i)%len(list)]; !silent(who) {
			return who, true
		}
	}
	return "", false
}

// source tells where this instance has its news from now.
func (ctl *Control) source(now clock.Milli) (ident.Incarnation, source) {
	vw := ctl.View()
	if ctl.set.Link == nil || vw.plan == nil && vw.heard == 0 {
		// The first documents come from the store: when all start at once nobody has any.
		return "", fromStore
	}
	return vw.sources.choose(ctl.set.Self, func(who ident.Incarnation) bool { return now < ctl.docs.silent.until(who) })
}

// Follows tells whether this instance is told by others what stands in the store.
func (ctl *Control) Follows() bool {
	_, src := ctl.source(ctl.set.Clock.Now())
	return src == fromOther
}

// rareSpan is how long one of so many instances waits before it reads the store rarely.
func rareSpan(instances int) clock.Milli {
	return retry.Spread(rareEach * clock.Milli(max(instances, 1)))
}
