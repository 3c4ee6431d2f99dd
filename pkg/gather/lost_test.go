package gather

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// lossy plays a pool of many endpoints, of which most lose each third answer for some
// seconds: what they made is never heard of. It gives how long each request took that came
// at least two seconds after that ended.
func lossy(bk *Book, makers int, perSecond float64, from, to, end clock.Milli) []clock.Milli {
	rnd := rand.New(rand.NewPCG(3, 4))
	losers := map[string]bool{}
	var list []Maker
	for i := range makers {
		mkr := Maker{ID: string(rune('A' + i))}
		losers[mkr.ID] = i%5 < 3
		list = append(list, mkr)
	}
	bk.Sync(list)
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
				bk.Add(Piece{ID: 6*job + i, Job: job, Due: now + 2000, Until: now + 20000})
			}
		}
		for id, endg := range ends {
			if endg.at > now {
				continue
			}
			delete(ends, id)
			if endg.lost {
				bk.Ended(id, Failed, nil, now)
				for _, pc := range calls[id].Pieces {
					pc.Rest = true
					bk.Add(pc)
				}
				continue
			}
			bk.Ended(id, Made, nil, now)
			for _, pc := range calls[id].Pieces {
				if missing[pc.Job]--; missing[pc.Job] == 0 && came[pc.Job] >= to+2*clock.Second {
					took = append(took, now-came[pc.Job])
				}
			}
		}
		for bat, ok := bk.Next(now); ok; bat, ok = bk.Next(now) {
			endg := ending{at: now + bk.spec.Time(len(bat.Pieces))}
			if now >= from && now < to && losers[bat.Maker.ID] && rnd.IntN(3) == 0 {
				endg = ending{at: now + bat.GiveUp, lost: true}
			}
			calls[bat.ID], ends[bat.ID] = bat, endg
		}
	}
	slices.Sort(took)
	return took
}

// TestLostAnswersSlowNobody: most of the endpoints of a large pool lose some of their answers
// for three seconds. Each that lost one counted as slow for seven seconds more and stood idle,
// since one of many others always came free sooner, while hundreds of pieces waited: callers
// were refused and late long after all was well. Two seconds after it a request takes what it
// takes in the calm.
func TestLostAnswersSlowNobody(t *testing.T) {
	gom := gomega.NewWithT(t)
	play := func(from, to clock.Milli) []clock.Milli {
		bk := &Book{}
		bk.Set(Spec{Places: 1, Most: 16, Call: 200, Item: 11})
		return lossy(bk, 38, 120, from, to, 12*clock.Second)
	}
	calm, after := play(0, 0), play(2*clock.Second, 5*clock.Second)
	gom.Expect(len(after)).To(gomega.BeNumerically(">", 550))
	gom.Expect(after[len(after)/2]).To(gomega.BeNumerically("<", 2*calm[len(calm)/2]))
}
