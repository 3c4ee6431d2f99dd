// Package fleet simulates the membership protocol (package member) and the dissemination of facts
// (package gossip) among many instances, in fake time and over links that lose messages. It is for
// tests of decisions at a given number of instances.
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
	// Step is the time step of the simulation: the latency between two instances and the
	// interval at which facts are sent.
	Step = 5 * clock.Milli(1)
	// tickInterval is the time between two ticks of the membership protocol.
	tickInterval = 100 * clock.Milli(1)
)

// Setup has the parameters of a fleet.
type Setup struct {
	Count int
	// LossRate is the fraction of messages that links lose.
	LossRate float64
	Seed     uint64
	// ZoneOf returns the data centre of an instance; nil for a single one.
	ZoneOf func(i int) string
	// OnStart is called for each instance that starts, to set the bounds of its facts.
	OnStart func(ins *Instance)
}

// Instance is a simulated instance.
type Instance struct {
	id          ident.Incarnation
	list        *member.List
	spread      gossip.Spread
	partitioned bool
	stableSince clock.Milli
	sent        int
}

// ID returns the instance's incarnation.
func (ins *Instance) ID() ident.Incarnation { return ins.id }

// List returns the instance's list of members.
func (ins *Instance) List() *member.List { return ins.list }

// Spread returns the instance's facts.
func (ins *Instance) Spread() *gossip.Spread { return &ins.spread }

// Sent returns the number of messages that the instance has sent.
func (ins *Instance) Sent() int { return ins.sent }

// Fleet is a set of instances in fake time. Use [New] to create one.
type Fleet struct {
	set   Setup
	rng   *rand.Rand
	now   clock.Milli
	boots int
	insts []*Instance
	byID  map[ident.Incarnation]*Instance
}

// New returns a fleet whose instances all know each other.
func New(set Setup) *Fleet {
	flt := &Fleet{set: set, rng: rand.New(rand.NewPCG(set.Seed, 1)), now: clock.Hour, insts: make([]*Instance, set.Count)}
	flt.RestartAll()
	return flt
}

// Now returns the current fake time.
func (flt *Fleet) Now() clock.Milli { return flt.now }

// Instances returns the running instances.
func (flt *Fleet) Instances() []*Instance { return flt.insts }

// Random returns a random running instance.
func (flt *Fleet) Random() *Instance { return flt.insts[flt.rng.IntN(len(flt.insts))] }

// Find returns the running instance with the given incarnation, or nil.
func (flt *Fleet) Find(id ident.Incarnation) *Instance { return flt.byID[id] }

func (flt *Fleet) start(i int) *Instance {
	id := ident.Incarnation(fmt.Sprintf("10.0.%d.%d:1#%d", i/250, i%250, flt.boots))
	ins := &Instance{id: id, list: member.New(id, flt.zone(i), "", flt.now), stableSince: flt.now}
	flt.set.OnStart(ins)
	return ins
}

func (flt *Fleet) zone(i int) string {
	if flt.set.ZoneOf == nil {
		return "dc1"
	}
	return flt.set.ZoneOf(i)
}

// Restart replaces the selected instances. The new ones learn the members from an instance that
// keeps running.
func (flt *Fleet) Restart(which func(i int) bool) {
	flt.boots++
	var survivor *Instance
	for i, ins := range flt.insts {
		if !which(i) {
			survivor = ins
		}
	}
	for i, ins := range flt.insts {
		if which(i) {
			delete(flt.byID, ins.id)
			flt.insts[i] = flt.start(i)
			flt.insts[i].list.Merge(survivor.list.AllUpdates(), flt.now)
			flt.byID[flt.insts[i].id] = flt.insts[i]
		}
	}
}

// RestartAll replaces all instances. The new ones know each other, as if they had read the
// store.
func (flt *Fleet) RestartAll() {
	flt.boots++
	flt.byID = map[ident.Incarnation]*Instance{}
	for i := range flt.insts {
		flt.insts[i] = flt.start(i)
		flt.byID[flt.insts[i].id] = flt.insts[i]
	}
	for _, ins := range flt.insts {
		for i, oth := range flt.insts {
			ins.list.Merge([]member.Update{{ID: oth.id, Zone: flt.zone(i), Seq: 1}}, flt.now)
		}
	}
}

// SetPartitioned partitions an instance from all others, or ends its partition.
func (flt *Fleet) SetPartitioned(ins *Instance, partitioned bool) {
	if ins.partitioned != partitioned {
		ins.partitioned, ins.stableSince = partitioned, flt.now
	}
}

// IsSteady reports whether an instance is not partitioned, and its start and the end of its last
// partition are at least the given time ago.
func (flt *Fleet) IsSteady(ins *Instance, within clock.Milli) bool {
	return !ins.partitioned && flt.now-ins.stableSince >= within
}

// Send counts a message as sent and reports whether it arrives. The receiver is nil if it no
// longer runs.
func (flt *Fleet) Send(from, to *Instance) bool {
	from.sent++
	return to != nil && !from.partitioned && !to.partitioned && flt.rng.Float64() >= flt.set.LossRate
}

// Run advances the fake time by a span; each is called after every step and may be nil.
func (flt *Fleet) Run(span clock.Milli, each func()) {
	for end := flt.now + span; flt.now < end; flt.now += Step {
		flt.flush()
		if flt.now%tickInterval == 0 {
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

// flush sends the new facts of all instances to their neighbours.
func (flt *Fleet) flush() {
	type message struct {
		from  *Instance
		to    ident.Incarnation
		facts []gossip.Fact
	}
	var all []message
	for _, ins := range flt.insts {
		for _, part := range ins.spread.Flush() {
			for _, id := range ins.list.Neighbours() {
				all = append(all, message{ins, id, part})
			}
		}
	}
	for _, msg := range all {
		if to := flt.byID[msg.to]; flt.Send(msg.from, to) {
			to.spread.Receive(msg.facts, to.list.IsMesh(), flt.now)
		}
	}
}

// probe makes an instance probe another one, with the membership updates and facts that are
// piggybacked on probe and answer.
func (flt *Fleet) probe(ins *Instance, id ident.Incarnation) {
	oth := flt.byID[id]
	if oth == nil && slices.ContainsFunc(flt.insts, func(next *Instance) bool { return next.id.Addr() == id.Addr() }) {
		// The process now at this address answers with its own incarnation.
		ins.list.MarkReplaced(id, flt.now)
		return
	}
	if !flt.Send(ins, oth) {
		return
	}
	oth.list.Merge(ins.list.Updates(oth.id), flt.now)
	answer, digest := oth.spread.Delta(ins.spread.Digest(), flt.now), oth.spread.Digest()
	if !flt.Send(oth, ins) {
		return
	}
	ins.list.Merge(oth.list.Updates(ins.id), flt.now)
	ins.list.Ack(oth.id, flt.now)
	ins.spread.Receive(answer, ins.list.IsMesh(), flt.now)
	if more := ins.spread.Delta(digest, flt.now); len(more) > 0 && flt.Send(ins, oth) {
		oth.spread.Receive(more, oth.list.IsMesh(), flt.now)
	}
}
