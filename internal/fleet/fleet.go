// Package fleet runs instances in fake time, as far as they tell one another who there is and what
// facts they have learned: lists of members (package member) and facts (package gossip), over links
// that lose messages. It is help for tests of what a system decides at a given size.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	// Step is the way between two instances, and how long facts are gathered for a message.
	Step = 5 * clock.Milli(1)
	// tick is the time between two steps of the membership.
	tick = 100 * clock.Milli(1)
)

// Setup is what a fleet is made of.
type Setup struct {
	Count int
	// Lost is the share of messages that links lose.
	Lost float64
	Seed uint64
	// Begin is told of each instance that starts; it sets the bounds of its facts.
	Begin func(ins *Instance)
}

// Instance is one of a fleet.
type Instance struct {
	who    ident.Incarnation
	list   *member.List
	spread gossip.Spread
	cut    bool
	calm   clock.Milli
	sent   int
}

// Who names the instance.
func (ins *Instance) Who() ident.Incarnation { return ins.who }

// List has the members that the instance knows.
func (ins *Instance) List() *member.List { return ins.list }

// Spread has the facts that it knows.
func (ins *Instance) Spread() *gossip.Spread { return &ins.spread }

// Sent counts the messages that it sent.
func (ins *Instance) Sent() int { return ins.sent }

// Fleet is instances in fake time. It is made by [New].
type Fleet struct {
	set   Setup
	rng   *rand.Rand
	now   clock.Milli
	boots int
	insts []*Instance
	byWho map[ident.Incarnation]*Instance
}

// New returns a fleet whose instances know one another.
func New(set Setup) *Fleet {
	flt := &Fleet{set: set, rng: rand.New(rand.NewPCG(set.Seed, 1)), now: clock.Hour, insts: make([]*Instance, set.Count)}
	flt.RestartAll()
	return flt
}

// Now gives the present instant.
func (flt *Fleet) Now() clock.Milli { return flt.now }

// Instances gives those that run.
func (flt *Fleet) Instances() []*Instance { return flt.insts }

// Any gives one of those that run.
func (flt *Fleet) Any() *Instance { return flt.insts[flt.rng.IntN(len(flt.insts))] }

// Find gives an instance by its name; nil if it has ended.
func (flt *Fleet) Find(who ident.Incarnation) *Instance { return flt.byWho[who] }

func (flt *Fleet) start(i int) *Instance {
	who := ident.Incarnation(fmt.Sprintf("10.0.%d.%d:1#%d", i/250, i%250, flt.boots))
	ins := &Instance{who: who, list: member.New(who, "dc1", "", flt.now), calm: flt.now}
	flt.set.Begin(ins)
	return ins
}

// Restart ends some instances, and starts others in their places that hear of all from one that
// goes on.
func (flt *Fleet) Restart(which func(i int) bool) {
	flt.boots++
	var goesOn *Instance
	for i, ins := range flt.insts {
		if !which(i) {
			goesOn = ins
		}
	}
	for i, ins := range flt.insts {
		if which(i) {
			delete(flt.byWho, ins.who)
			flt.insts[i] = flt.start(i)
			flt.insts[i].list.Merge(goesOn.list.AllUpdates(), flt.now)
			flt.byWho[flt.insts[i].who] = flt.insts[i]
		}
	}
}

// RestartAll ends all instances, and starts others that know one another from the store.
func (flt *Fleet) RestartAll() {
	flt.boots++
	flt.byWho = map[ident.Incarnation]*Instance{}
	for i := range flt.insts {
		flt.insts[i] = flt.start(i)
		flt.byWho[flt.insts[i].who] = flt.insts[i]
	}
	for _, ins := range flt.insts {
		for _, oth := range flt.insts {
			ins.list.Merge([]member.Update{{ID: oth.who, Zone: "dc1", Seq: 1}}, flt.now)
		}
	}
}

// Cut cuts an instance off from all others, or ends that.
func (flt *Fleet) Cut(ins *Instance, cut bool) {
	if ins.cut != cut {
		ins.cut, ins.calm = cut, flt.now
	}
}

// IsCalm tells whether an instance runs and was not cut off for so long.
func (flt *Fleet) IsCalm(ins *Instance, within clock.Milli) bool {
	return !ins.cut && flt.now-ins.calm >= within
}

// Reaches tells whether a message gets from one instance to another; the latter is nil if it has
// ended.
func (flt *Fleet) Reaches(from, to *Instance) bool {
	from.sent++
	return to != nil && !from.cut && !to.cut && flt.rng.Float64() >= flt.set.Lost
}

// Run lets a span pass; each is called at each step, and may be nil.
func (flt *Fleet) Run(span clock.Milli, each func()) {
	for end := flt.now + span; flt.now < end; flt.now += Step {
		flt.deliver()
		if flt.now%tick == 0 {
			for _, ins := range flt.insts {
				for _, act := range ins.list.Tick(flt.now) {
					flt.probe(ins, act.Target)
				}
			}
		}
		if each != nil {
			each()
		}
	}
}

// deliver has all instances tell their neighbours what is fresh.
func (flt *Fleet) deliver() {
	type message struct {
		from  *Instance
		to    ident.Incarnation
		facts []gossip.Fact
	}
	var all []message
	for _, ins := range flt.insts {
		for _, part := range ins.spread.Flush() {
			for _, who := range ins.list.Neighbours() {
				all = append(all, message{ins, who, part})
			}
		}
	}
	for _, msg := range all {
		if to := flt.byWho[msg.to]; flt.Reaches(msg.from, to) {
			to.spread.Receive(msg.facts, to.list.IsMesh(), flt.now)
		}
	}
}

// probe has an instance probe another one, with all that travels beside.
func (flt *Fleet) probe(ins *Instance, who ident.Incarnation) {
	oth := flt.byWho[who]
	if oth == nil && slices.ContainsFunc(flt.insts, func(next *Instance) bool { return next.who.Addr() == who.Addr() }) {
		// The process that is there now answers in its own name.
		ins.list.MarkReplaced(who, flt.now)
		return
	}
	if !flt.Reaches(ins, oth) {
		return
	}
	oth.list.Merge(ins.list.Updates(oth.who), flt.now)
	answer, digest := oth.spread.Delta(ins.spread.Digest(), flt.now), oth.spread.Digest()
	if !flt.Reaches(oth, ins) {
		return
	}
	ins.list.Merge(oth.list.Updates(ins.who), flt.now)
	ins.list.Ack(oth.who, flt.now)
	ins.spread.Receive(answer, ins.list.IsMesh(), flt.now)
	if more := ins.spread.Delta(digest, flt.now); len(more) > 0 && flt.Reaches(ins, oth) {
		oth.spread.Receive(more, oth.list.IsMesh(), flt.now)
	}
}
