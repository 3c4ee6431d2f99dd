package state

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	// greetMost is how many new instances are greeted by a handshake each.
	greetMost = 16
	// lookMargin is how long after a look's time its answer is there.
	lookMargin = 200 * time.Millisecond
	// remindMost bounds the members that are reminded of their lines at a look.
	remindMost = 16
	// withdrawMost bounds the lines that one write takes out.
	withdrawMost = 500
	// announceAfter is how long after our own look the others have looked who started at the
	// same time.
	announceAfter = 150 * time.Millisecond
	// announceWait bounds the writing of our own line: the store turns writes away that
	// would wait for more than two seconds.
	announceWait = 3 * time.Second
)

// meet finds the other instances: by the store, and by the seeds while nobody else is
// known. It looks before this instance is known itself: the store writes lines one after
// another and lets reads wait behind them, so that when hundreds start at once whoever
// wrote first would know nobody for half a second.
func (ctl *Control) meet(ctx context.Context) {
	turn := 0
	if ctl.first(ctx) {
		ctl.loop.Go(ctl.announce)
		pause(ctx, lookEvery[0])
		turn++
	}
	for ; ctx.Err() == nil; turn++ {
		list, err := ctl.look(ctx)
		if !ctl.loop.Do(ctx, func(now clock.Milli) { ctl.greet(list, err == nil, now) }) {
			return
		}
		if err == nil {
			ctl.met.give()
		}
		if turn == 0 {
			ctl.loop.Go(ctl.announce)
		}
		pause(ctx, lookEvery[min(turn, len(lookEvery)-1)])
		for err == nil && turn >= len(lookEvery)-1 && ctl.Follows() && ctx.Err() == nil {
			// Readers look for all; news of who came travels on the probes.
			pause(ctx, lookEvery[len(lookEvery)-1])
		}
	}
}

// first waits until the store was asked for documents, which are needed before the others
// are and would share the way here with their lines. It tells whether there are none: then
// the system starts for the first time, and the others' lines are yet to be written.
func (ctl *Control) first(ctx context.Context) bool {
	ctl.asked.wait(ctx, othersWait)
	none, _ := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.docs.heardAt > 0 && ctl.docs.plan == nil })
	return none
}

// Met is closed once this instance has learned of the others, from the store or from one of
// them.
func (ctl *Control) Met() <-chan struct{} { return ctl.met.ch }

// look lists the instances that the store knows. Our own line is written again if it
// should stand there and doesn't.
func (ctl *Control) look(ctx context.Context) ([]talk.Instance, error) {
	if ctl.storeDown(ctx) {
		return nil, errStoreDown
	}
	announced := ctl.announced.Load()
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	list, kept, err := ctl.set.Store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	ctl.loop.Do(ctx, func(now clock.Milli) { ctl.facts.readKept(kept, now) })
	ours := func(inst talk.Instance) bool { return inst.Name == string(ctl.set.Self) }
	if announced && !slices.ContainsFunc(list, ours) {
		ctl.announceAgain()
	}
	return list, nil
}

// announceAgain writes our own line once more, unless it is being written.
func (ctl *Control) announceAgain() {
	if ctl.announced.Swap(false) {
		ctl.loop.Go(ctl.announce)
	}
}

// announce writes our own line to the store, however often that takes, once all that start
// with this instance have looked.
func (ctl *Control) announce(ctx context.Context) {
	pause(ctx, announceAfter)
	me := talk.Instance{
		Name: string(ctl.set.Self), Addr: ctl.set.Self.Addr(), Zone: ctl.set.Zone, Caller: ctl.set.Caller, Capacity: ctl.set.Capacity,
	}
	for fails := 0; ctx.Err() == nil && !ctl.announced.Load(); fails++ {
		if !ctl.storeDown(ctx) {
			wctx, cancel := context.WithTimeout(ctx, announceWait)
			ctl.announced.Store(ctl.set.Store.Announce(wctx, me) == nil)
			cancel()
		}
		if !ctl.announced.Load() {
			pause(ctx, againSpan(fails))
		}
	}
}

// lookEvery are the pauses between two looks at who else there is: all start within a
// moment of each other, and their lines are written after a second. Later ones are told
// of by the probes.
var lookEvery = []time.Duration{time.Second, 5 * time.Second}

// greet probes the instances that the store lists and nobody spoke of, or the seeds
// while nobody else is known. Where many are new, as when all start at once, they are
// believed from their lines instead: hundreds of instances that greet one another
// make a handshake for each pair, and answer no probe in time meanwhile.
func (ctl *Control) greet(list []talk.Instance, read bool, now clock.Milli) {
	unknown := ctl.unknown(list)
	for _, inst := range unknown {
		if len(unknown) <= greetMost {
			ctl.group.Greet(inst.Addr, ident.Incarnation(inst.Name))
			continue
		}
		ctl.list.Learn([]member.News{{
			Who: ident.Incarnation(inst.Name), Zone: inst.Zone, Caller: inst.Caller, Seq: 1, Capacity: inst.Capacity,
		}}, now)
	}
	if len(ctl.list.All()) <= 1 {
		for _, addr := range ctl.set.Seeds {
			if addr != ctl.set.Self.Addr() {
				ctl.group.Greet(addr, "")
			}
		}
	}
	if read {
		ctl.endReplaced(list, now)
		ctl.tidy(list)
		ctl.remind(list)
	}
}

// looksForAll tells whether this instance keeps the store's lines in order for all: the first
// of the readers does. One that stops, and knows of nobody else, ranks nobody.
func (ctl *Control) looksForAll() bool {
	ranked := ctl.list.Homes(readersName)
	return len(ranked) > 0 && ranked[0] == ctl.set.Self
}

// remind tells members whose lines are missing from the store, at two looks in a row. An
// instance that was cut off and taken for dead has had its line withdrawn; as long as it
// follows a reader it doesn't look for itself, and whoever starts meanwhile doesn't
// learn of it from the store.
func (ctl *Control) remind(list []talk.Instance) {
	if !ctl.looksForAll() {
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
		who := mbr.Who()
		if who == ctl.set.Self || mbr.Status() != member.Alive || listed[who] {
			continue
		}
		ctl.unlisted[who] = true
		if before[who] && reminded < remindMost && ctl.set.Link != nil {
			reminded++
			ctl.loop.Go(func(ctx context.Context) { ctl.remindOne(ctx, who) })
		}
	}
}

func (ctl *Control) remindOne(ctx context.Context, who ident.Incarnation) {
	actx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	// One that hears nothing of it is reminded again at the next look.
	_, err := ctl.set.Link.Ask(actx, who.Addr(), peer.Message{Kind: peer.Unlisted, From: ctl.set.Self, To: who})
	ctl.set.Log.Info().AnErr("error", err).Str("member", string(who)).Msg("line missing from the store")
}

// endReplaced notes the end of instances whose lines were taken out of the store while
// another stands there with the same address: an instance that starts withdraws the
// lines of those before it. A line that merely stands beside another one proves
// nothing, since a write that got no answer may be done seconds later. When all
// instances are replaced at once, this is what lets them agree within two seconds who
// is there; told from one to the next it takes a quarter of a minute at 71 instances.
func (ctl *Control) endReplaced(list []talk.Instance, now clock.Milli) {
	names, addrs := map[string]bool{}, map[string]bool{}
	for _, inst := range list {
		names[inst.Name], addrs[inst.Addr] = true, true
	}
	for name := range ctl.listed {
		if who := ident.Incarnation(name); !names[name] && addrs[who.Addr()] {
			ctl.list.End(who, now)
		}
	}
	ctl.listed = names
}

// unknown lists the instances that were never heard of: of several lines with one
// address the newest, for the others are of processes that have ended.
func (ctl *Control) unknown(list []talk.Instance) []talk.Instance {
	newest := map[string]talk.Instance{}
	for _, inst := range list {
		newest[inst.Addr] = inst
	}
	var fresh []talk.Instance
	for _, inst := range newest {
		if _, ok := ctl.list.Find(ident.Incarnation(inst.Name)); !ok && inst.Addr != ctl.set.Self.Addr() {
			fresh = append(fresh, inst)
		}
	}
	return fresh
}

// tidy takes lines out of the store whose instances have ended, in one write: after a loss of all there are hundreds, and the store
// writes one after another, with the lines of the living behind them.
func (ctl *Control) tidy(list []talk.Instance) {
	if !ctl.looksForAll() {
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
		wctx, cancel := context.WithTimeout(ctx, readWait)
		defer cancel()
		// A line that stays is seen again at the next look.
		err := ctl.set.Store.Withdraw(wctx, ended[:min(len(ended), withdrawMost)]...)
		ctl.set.Log.Info().AnErr("error", err).Int("ended", len(ended)).Msg("lines of ended instances withdrawn")
	})
}
