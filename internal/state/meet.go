package state

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// greetMost is how many new instances are greeted by a handshake each.
const greetMost = 16

// meet makes this instance known and finds the others: by the store, and by the
// seeds while nobody else is known.
func (ctl *Control) meet(ctx context.Context) {
	me := talk.Instance{
		Name: string(ctl.set.Self), Addr: ctl.set.Self.Addr(), Zone: ctl.set.Zone, Caller: ctl.set.Caller, Capacity: ctl.set.Capacity,
	}
	said := false
	for turn := 0; ctx.Err() == nil; turn++ {
		var list []talk.Instance
		err := errStoreDown
		if !ctl.storeDown(ctx) {
			list, said, err = ctl.announce(ctx, me, said)
		}
		if !ctl.loop.Do(ctx, func(now clock.Milli) { ctl.greet(list, err == nil, now) }) {
			return
		}
		pause(ctx, meetEvery[min(turn, len(meetEvery)-1)])
		for turn >= len(meetEvery) && ctl.Follows() && ctx.Err() == nil {
			// Readers look for all; news of who came travels on the probes.
			pause(ctx, meetEvery[len(meetEvery)-1])
		}
	}
}

// announce writes our own line, unless it was said before, and gives all lines. said tells
// whether ours stands there as far as is known.
func (ctl *Control) announce(ctx context.Context, me talk.Instance, said bool) ([]talk.Instance, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	if !said {
		said = ctl.set.Store.Announce(ctx, me) == nil
	}
	list, err := ctl.set.Store.Instances(ctx)
	if err != nil {
		return nil, said, err
	}
	return list, said && slices.ContainsFunc(list, func(inst talk.Instance) bool { return inst.Name == me.Name }), nil
}

// Follows tells whether this instance is told by others what stands in the store.
func (ctl *Control) Follows() bool {
	_, ok := ctl.reader(ctl.set.Clock.Now())
	return ok
}

// meetEvery are the pauses between two looks at who else there is: all start
// within a moment of each other, later ones are told of by the probes.
var meetEvery = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

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
	}
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

// tidy takes lines out of the store whose instances have ended for certain: those at
// our own address, and, by one instance, those taken for dead.
func (ctl *Control) tidy(list []talk.Instance) {
	for _, inst := range list {
		mbr, ok := ctl.list.Find(ident.Incarnation(inst.Name))
		ours := inst.Addr == ctl.set.Self.Addr() && inst.Name != string(ctl.set.Self)
		if ours || ok && mbr.Status() == member.Dead && ctl.list.Rank() == 0 {
			ctl.loop.Go(func(ctx context.Context) {
				wctx, cancel := context.WithTimeout(ctx, readWait)
				defer cancel()
				// A line that stays is seen again at the next look.
				_ = ctl.set.Store.Withdraw(wctx, inst.Name)
			})
		}
	}
}
