package gather

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// lossy simulates a pool of many endpoints, of which three in five lose about every third answer
// between the times from and to. It returns the sorted latencies of the requests that arrive at
// least two seconds after to.
func lossy(sch *Scheduler, endpoints int, perSecond float64, from, to, end clock.Milli) []clock.Milli {
	rnd := rand.New(rand.NewPCG(3, 4))
	losers := map[string]bool{}
	var list []Endpoint
	for i := range endpoints {
		ep := Endpoint{ID: string(rune('A' + i))}
		losers[ep.ID] = i%5 < 3
		list = append(list, ep)
	}
	sch.Sync(list)
	type ending struct {
		at   clock.Milli
		lost bool
	}
	came, missing := map[int64]clock.Milli{}, map[int64]int{}
	calls, ends := map[int64]Batch{}, map[int64]ending{}
	var took []clock.Milli
	next := 0.0
	for now := clock.Milli(0); now < end; now++ {
		for ; next <= float64(now); next += rnd.ExpFloat64() * 1000 / perSecond {
			job := int64(len(came))
			came[job], missing[job] = now, 6
			for i := range int64(6) {
				sch.Add(Item{ID: 6*job + i, Job: job, Due: now + 2000, Expires: now + 20000})
			}
		}
		for id, endg := range ends {
			if endg.at > now {
				continue
			}
			delete(ends, id)
			if endg.lost {
				sch.End(id, Failed, nil, now)
				for _, itm := range calls[id].Items {
					itm.Begun = true
					sch.Add(itm)
				}
				continue
			}
			sch.End(id, Answered, nil, now)
			for _, itm := range calls[id].Items {
				if missing[itm.Job]--; missing[itm.Job] == 0 && came[itm.Job] >= to+2*clock.Second {
					took = append(took, now-came[itm.Job])
				}
			}
		}
		for bat, ok := sch.Next(now); ok; bat, ok = sch.Next(now) {
			endg := ending{at: now + sch.spec.Time(len(bat.Items))}
			if now >= from && now < to && losers[bat.Endpoint.ID] && rnd.IntN(3) == 0 {
				endg = ending{at: now + bat.Timeout, lost: true}
			}
			calls[bat.ID], ends[bat.ID] = bat, endg
		}
	}
	slices.Sort(took)
	return took
}

// TestLostAnswersDoNotIdleEndpoints: most endpoints of a large pool lose some of their answers for
// three seconds. Each lost answer marked its endpoint as slow for another seven seconds; it stayed
// idle, since one of the many others was always free sooner, while hundreds of items waited and
// requests were refused or late long after the fault. Two seconds after it the latency is back to
// normal.
func TestLostAnswersDoNotIdleEndpoints(t *testing.T) {
	gom := gomega.NewWithT(t)
	play := func(from, to clock.Milli) []clock.Milli {
		sch := &Scheduler{}
		sch.SetSpec(Spec{Slots: 1, MaxItems: 16, BatchMs: 200, ItemMs: 11})
		return lossy(sch, 38, 120, from, to, 12*clock.Second)
	}
	calm, after := play(0, 0), play(2*clock.Second, 5*clock.Second)
	gom.Expect(len(after)).To(gomega.BeNumerically(">", 550))
	gom.Expect(after[len(after)/2]).To(gomega.BeNumerically("<", 2*calm[len(calm)/2]))
}

// Guards against an endpoint that falls over since it is called again soon after it has rejected a batch.
func TestBrittleEndpointIsLeftAlone(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, brittle := range []bool{false, true} {
		var sch Scheduler
		sch.SetSpec(Spec{Slots: 1, MaxItems: 4, BatchMs: 200, ItemMs: 20, Brittle: brittle})
		sch.Sync([]Endpoint{{ID: "one"}})
		rejected := 0
		for now := clock.Milli(1000); now < 3000; now += 10 {
			if sch.Waiting() == 0 {
				sch.Add(Item{ID: int64(now), Job: int64(now), Due: 10_000, Expires: 10_000})
			}
			if bat, ok := sch.Next(now); ok {
				rejected++
				sch.End(bat.ID, Busy, nil, now)
			}
		}
		gom.Expect(rejected <= 2).To(gomega.Equal(brittle), "%d rejections in 2 s", rejected)
	}
}
