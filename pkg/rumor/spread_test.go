package rumor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/rumor"
)

const (
	// step is the way between two instances, and how long facts are gathered for a message.
	step = 5 * clock.Milli(1)
	// tick is the time between two steps of the membership.
	tick = 100 * clock.Milli(1)
)

// inst is an instance as far as facts go.
type inst struct {
	who    ident.Incarnation
	list   *member.List
	spread rumor.Spread
	cut    bool
	sent   int
}

// fleet is instances that tell one another facts, in fake time, over links that lose messages.
type fleet struct {
	rng   *rand.Rand
	lost  float64
	now   clock.Milli
	insts []*inst
	byWho map[ident.Incarnation]*inst
}

func newFleet(count int, lost float64, seed uint64) *fleet {
	flt := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), lost: lost, byWho: map[ident.Incarnation]*inst{}}
	for i := range count {
		flt.insts = append(flt.insts, flt.start(i, "a"))
	}
	flt.acquaint()
	return flt
}

func (flt *fleet) start(i int, boot string) *inst {
	who := ident.Incarnation(fmt.Sprintf("10.0.%d.%d:1#%s", i/250, i%250, boot))
	ins := &inst{who: who, list: member.New(who, "dc1", "", flt.now)}
	ins.spread.Bound(rumor.EndedUnder, rumor.Bounds{Keep: clock.Hour, Most: 1000})
	flt.byWho[who] = ins
	return ins
}

// acquaint has all know one another.
func (flt *fleet) acquaint() {
	for _, ins := range flt.insts {
		for _, oth := range flt.insts {
			ins.list.Learn([]member.News{{Who: oth.who, Zone: "dc1", Seq: 1}}, flt.now)
		}
	}
}

func (flt *fleet) reaches(from, to *inst) bool {
	from.sent++
	return to != nil && !from.cut && !to.cut && flt.rng.Float64() >= flt.lost
}

// run lets a span pass.
func (flt *fleet) run(span clock.Milli) {
	for end := flt.now + span; flt.now < end; flt.now += step {
		type told struct {
			from, to *inst
			facts    []rumor.Fact
		}
		var all []told
		for _, ins := range flt.insts {
			for _, part := range ins.spread.Flush() {
				for _, who := range ins.list.Neighbours() {
					all = append(all, told{ins, flt.byWho[who], part})
				}
			}
		}
		for _, tld := range all {
			if flt.reaches(tld.from, tld.to) {
				tld.to.spread.Told(tld.facts, tld.to.list.IsMesh(), flt.now)
			}
		}
		if flt.now%tick != 0 {
			continue
		}
		for _, ins := range flt.insts {
			for _, act := range ins.list.Tick(flt.now) {
				flt.probe(ins, flt.byWho[act.Target])
			}
		}
	}
}

func (flt *fleet) probe(ins, oth *inst) {
	if !flt.reaches(ins, oth) {
		return
	}
	oth.list.Learn(ins.list.Gossip(oth.who), flt.now)
	answer, digest := oth.spread.Missing(ins.spread.Digest(), flt.now), oth.spread.Digest()
	if !flt.reaches(oth, ins) {
		return
	}
	ins.list.Ack(oth.who, flt.now)
	ins.spread.Told(answer, ins.list.IsMesh(), flt.now)
	if more := ins.spread.Missing(digest, flt.now); len(more) > 0 && flt.reaches(ins, oth) {
		oth.spread.Told(more, oth.list.IsMesh(), flt.now)
	}
}

// learn has an instance learn a fact by itself.
func (flt *fleet) learn(i int, key string) {
	if fct, ok := flt.insts[i].spread.Set(rumor.EndedUnder, key, "x", flt.now); ok {
		flt.insts[i].spread.Learned(fct)
	}
}

// knowing counts the instances that know so many facts.
func (flt *fleet) knowing(count int) int {
	all := 0
	for _, ins := range flt.insts {
		if ins.spread.Len() == count {
			all++
		}
	}
	return all
}

// Guards against facts that some instances hear of too late, in systems of each size: over links
// that lose messages, by instances that were cut off, and by such as start later.
func TestAllKnowInTime(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			flt := newFleet(size.instances, 0.05, uint64(size.instances))
			flt.run(2 * clock.Second)
			for i := range 3 {
				flt.learn(i, fmt.Sprint(i))
				flt.run(500)
			}
			gom.Expect(flt.knowing(3)).To(gomega.BeNumerically(">=", size.instances*99/100), "at once")
			flt.run(size.within - 500)
			gom.Expect(flt.knowing(3)).To(gomega.Equal(size.instances))

			for i, ins := range flt.insts {
				ins.cut = i%5 == 4
			}
			flt.learn(0, "while some are cut off")
			flt.run(2 * clock.Second)
			for _, ins := range flt.insts {
				ins.cut = false
			}
			flt.run(size.within)
			gom.Expect(flt.knowing(4)).To(gomega.Equal(size.instances), "after the cut")

			for i := range flt.insts {
				if i%10 == 9 {
					flt.insts[i] = flt.start(i, "b")
				}
			}
			flt.acquaint()
			flt.run(size.within)
			gom.Expect(flt.knowing(4)).To(gomega.Equal(size.instances), "after restarts")
		})
	}
}

// Guards against facts that are told without end: each instance tells each neighbour once.
func TestFactsAreToldOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, count := range []int{8, 66} {
		flt := newFleet(count, 0, 1)
		flt.learn(0, "one")
		for range 20 {
			flt.run(step)
		}
		most := 0
		for _, ins := range flt.insts {
			most = max(most, ins.sent)
		}
		gom.Expect(flt.knowing(1)).To(gomega.Equal(count))
		gom.Expect(most).To(gomega.BeNumerically("<=", member.MeshSize))
	}
}
