package state

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/retry"
)

const (
	// maxHandshakes is the largest number of new instances that are probed one by one.
	maxHandshakes = 16
	// lookupMargin is the time that the store takes to answer a lookup.
	lookupMargin = 200 * time.Millisecond
	// maxReminders bounds the members that are reminded of their entries at one lookup.
	maxReminders = 16
	// maxWithdrawn bounds the entries that one write removes.
	maxWithdrawn = 500
	// announceDelay is the time after this instance's lookup by which the instances that started at
	// the same time have done theirs.
	announceDelay = 150 * time.Millisecond
	// announceTimeout bounds the writing of this instance's entry: the store rejects writes that
	// would wait for more than two seconds.
	announceTimeout = 3 * time.Second
)

// discover finds the other instances through the store, and through the seeds while no other
// instance is known. It reads the store before this instance announces itself: the store processes
// writes one after another and delays reads behind them, so that when hundreds start at once the
// first writers would know no other instance for half a second.
func (ctl *Control) discover(ctx context.Context) {
	turn := 0
	if ctl.isFirstStart(ctx) {
		ctl.loop.Go(ctl.announce)
		pause(ctx, lookupIntervals[0])
		turn++
	}
	for ; ctx.Err() == nil; turn++ {
		list, err := ctl.lookUp(ctx)
		if !ctl.loop.Do(ctx, func(now clock.Milli) { ctl.learnInstances(list, err == nil, now) }) {
			return
		}
		if err == nil {
			ctl.membersLoaded.fire()
		}
		if turn == 0 {
			ctl.loop.Go(ctl.announce)
		}
		restored := ctl.pauseUntilRestored(ctx, lookupIntervals[min(turn, len(lookupIntervals)-1)])
		for !restored && err == nil && turn >= len(lookupIntervals)-1 && ctl.IsFollower() && ctx.Err() == nil {
			// Readers look up instances for all; gossip spreads the new ones.
			restored = ctl.pauseUntilRestored(ctx, lookupIntervals[len(lookupIntervals)-1])
		}
	}
}

// pauseUntilRestored waits for a span, or until the store has come back from a copy. The copy may lack this
// instance's entry, which is written again. It reports whether the entries should be read.
func (ctl *Control) pauseUntilRestored(ctx context.Context, span time.Duration) bool {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	select {
	case <-ctl.restored:
		if !pause(ctx, retry.Jittered(settleTime/2).Duration()) {
			return false
		}
		ctl.announceAgain()
		return !ctl.IsFollower()
	case <-tmr.C:
	case <-ctx.Done():
	}
	return false
}

// isFirstStart waits, for membersWait at most, until the store has answered the first read of the
// documents or failed to: these are needed before the instance entries, and both reads would share
// the bandwidth. It reports whether there are no documents. The system then starts for the first
// time, and the entries of the other instances are yet to be written.
func (ctl *Control) isFirstStart(ctx context.Context) bool {
	ctl.storeContacted.wait(ctx, membersWait)
	none, _ := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.docs.lastAnswer > 0 && ctl.docs.plan == nil })
	return none
}

// MembersKnown returns a channel that is closed once this instance has learned of the others, from
// the store or from one of them.
func (ctl *Control) MembersKnown() <-chan struct{} { return ctl.membersLoaded.ch }

// lookUp reads the instance entries from the store. Our own entry is written again if it should be
// there and is not.
func (ctl *Control) lookUp(ctx context.Context) ([]proto.Instance, error) {
	if ctl.storeDown(ctx) {
		return nil, errStoreDown
	}
	announced := ctl.announced.Load()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, kept, err := ctl.set.Store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	ctl.loop.Do(ctx, func(now clock.Milli) { ctl.facts.loadStored(kept, now) })
	ours := func(inst proto.Instance) bool { return inst.Name == string(ctl.set.Self) }
	if announced && !slices.ContainsFunc(list, ours) {
		ctl.announceAgain()
	}
	return list, nil
}

// announceAgain writes our own entry once more, unless it is being written.
func (ctl *Control) announceAgain() {
	if ctl.announced.Swap(false) {
		ctl.loop.Go(ctl.announce)
	}
}

// announce writes our own entry to the store, and retries until that succeeds. It begins after the
// lookups of instances that start at the same time.
func (ctl *Control) announce(ctx context.Context) {
	pause(ctx, announceDelay)
	me := proto.Instance{
		Name: string(ctl.set.Self), Addr: ctl.set.Self.Addr(), Zone: ctl.set.Zone, Caller: ctl.set.Caller, Capacity: ctl.set.Capacity,
	}
	for fails := 0; ctx.Err() == nil && !ctl.announced.Load(); fails++ {
		if !ctl.storeDown(ctx) {
			wctx, cancel := context.WithTimeout(ctx, announceTimeout)
			ctl.announced.Store(ctl.set.Store.Announce(wctx, me) == nil)
			cancel()
		}
		if !ctl.announced.Load() {
			pause(ctx, retryPause(fails))
		}
	}
}

// lookupIntervals are the pauses between lookups of instance entries: instances that start together
// do so within a moment, and their entries are written after a second. Later ones are learned
// through probes.
var lookupIntervals = []time.Duration{time.Second, 5 * time.Second}

// learnInstances probes the instances that are listed in the store and not yet known, or the seeds
// while no other instance is known. If many are new, as when all start at once, they are added from
// their entries instead: pairwise handshakes of hundreds of instances would delay the answers to
// probes.
func (ctl *Control) learnInstances(list []proto.Instance, read bool, now clock.Milli) {
	unknown := ctl.unknown(list)
	for _, inst := range unknown {
		if len(unknown) <= maxHandshakes {
			ctl.group.Probe(inst.Addr, ident.Incarnation(inst.Name))
			continue
		}
		ctl.list.Merge([]member.Update{{
			ID: ident.Incarnation(inst.Name), Zone: inst.Zone, Caller: inst.Caller, Seq: 1, Capacity: inst.Capacity,
		}}, now)
	}
	if len(ctl.list.All()) <= 1 {
		for _, addr := range ctl.set.Seeds {
			if addr != ctl.set.Self.Addr() {
				ctl.group.Probe(addr, "")
			}
		}
	}
	if !ctl.facts.known {
		ctl.facts.known, ctl.dirty = true, true
	}
	if read {
		ctl.endReplaced(list, now)
		ctl.withdrawEnded(list)
		ctl.remindUnlisted(list)
	}
}

// isMaintainer reports whether this instance keeps the entries in the store in order for all: the
// first reader does. An instance that is stopping and knows no other has an empty ranking.
func (ctl *Control) isMaintainer() bool {
	ranked := ctl.list.Owners(readersRankKey)
	return len(ranked) > 0 && ranked[0] == ctl.set.Self
}

// remindUnlisted notifies members whose entries were missing from the store at two lookups in a
// row. The entry of an instance that was partitioned and declared dead has been withdrawn. While
// the instance follows a reader it does not look up the entries itself, and starting instances do
// not find it in the store.
func (ctl *Control) remindUnlisted(list []proto.Instance) {
	if !ctl.isMaintainer() {
		ctl.unlisted = nil
		return
	}
	listed := map[ident.Incarnation]bool{}
	for _, inst := range list {
		listed[ident.Incarnation(inst.Name)] = true
	}
	before := ctl.unlisted
	ctl.unlisted = map[ident.Incarnation]bool{}
	reminded := 0
	for _, mbr := range ctl.list.All() {
		who := mbr.ID()
		if who == ctl.set.Self || mbr.Status() != member.Alive || listed[who] {
			continue
		}
		ctl.unlisted[who] = true
		if before[who] && reminded < maxReminders && ctl.set.Link != nil {
			reminded++
			ctl.loop.Go(func(ctx context.Context) { ctl.remindOne(ctx, who) })
		}
	}
}

func (ctl *Control) remindOne(ctx context.Context, who ident.Incarnation) {
	actx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	// A member that misses this is reminded again at the next lookup.
	_, err := ctl.set.Link.Call(actx, who.Addr(), peer.Message{Kind: peer.EntryMissing, From: ctl.set.Self, To: who})
	ctl.set.Log.Info().AnErr("error", err).Str("member", string(who)).Msg("instance entry missing from the store")
}

// endReplaced records the end of instances whose entries were removed from the store while another
// entry has the same address: a starting instance withdraws the entries of its predecessors. Two
// entries with one address prove nothing, since a write without an answer may be done seconds
// later. When all instances are replaced at once, this lets them agree on the members within two
// seconds; by gossip it takes a quarter of a minute at 71 instances.
func (ctl *Control) endReplaced(list []proto.Instance, now clock.Milli) {
	names, addrs := map[string]bool{}, map[string]bool{}
	for _, inst := range list {
		names[inst.Name], addrs[inst.Addr] = true, true
	}
	for name := range ctl.storedNames {
		if who := ident.Incarnation(name); !names[name] && addrs[who.Addr()] {
			ctl.list.MarkEnded(who, now)
		}
	}
	ctl.storedNames = names
}

// unknown returns the listed instances that are not members yet: of several entries with one
// address the newest, since the others are of ended processes.
func (ctl *Control) unknown(list []proto.Instance) []proto.Instance {
	newest := map[string]proto.Instance{}
	for _, inst := range list {
		newest[inst.Addr] = inst
	}
	var fresh []proto.Instance
	for _, inst := range newest {
		if _, ok := ctl.list.Find(ident.Incarnation(inst.Name)); !ok && inst.Addr != ctl.set.Self.Addr() {
			fresh = append(fresh, inst)
		}
	}
	return fresh
}

// withdrawEnded removes the entries of ended instances from the store, in one write: after a
// restart of all instances there are hundreds, and the store processes writes one after another,
// with the entries of live instances queued behind them.
func (ctl *Control) withdrawEnded(list []proto.Instance) {
	if !ctl.isMaintainer() {
		return
	}
	var ended []string
	for _, inst := range list {
		if mbr, ok := ctl.list.Find(ident.Incarnation(inst.Name)); ok && mbr.Status() == member.Dead {
			ended = append(ended, inst.Name)
		}
	}
	if len(ended) == 0 {
		return
	}
	ctl.loop.Go(func(ctx context.Context) {
		wctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		// An entry that remains is found again at the next lookup.
		err := ctl.set.Store.Withdraw(wctx, ended[:min(len(ended), maxWithdrawn)]...)
		ctl.set.Log.Info().AnErr("error", err).Int("ended", len(ended)).Msg("entries of ended instances withdrawn")
	})
}
