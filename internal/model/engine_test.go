package model

import (
	"testing"

	"github.com/onsi/gomega"
)

// runAlone runs a request at an idle engine.
func runAlone(spec Spec, req Request) Timing {
	eng := NewEngine(spec)
	var out Timing
	eng.OnDone = func(tim Timing) { out = tim }
	eng.Add(req, 0)
	eng.Run(1e6)
	return out
}

// TestFigures checks the simulated times against values calculated by hand from the users'
// figures: five steps to the first event of a short prompt, 44 chunks of a long one, 290 tokens
// of a stream.
func TestFigures(t *testing.T) {
	gom := gomega.NewWithT(t)
	short := runAlone(Dense(), Request{ID: "s", InTokens: 826, OutTokens: 290})
	gom.Expect(short.FirstEvent).To(gomega.BeNumerically("~", 38, 3))
	gom.Expect(short.LastEvent).To(gomega.BeNumerically("~", 1245, 20))
	gom.Expect(short.MaxGap).To(gomega.BeNumerically("~", 21, 1))
	long := runAlone(Dense(), Request{ID: "l", InTokens: 45000, OutTokens: 5})
	gom.Expect(long.FirstEvent).To(gomega.BeNumerically("~", 1570, 40))
}

// TestPausesBesideLongPrompts checks how the prefill of another prompt slows a running stream:
// 12,000 tokens cause a gap between events of some 100 ms, 45,000 tokens one of more than 200 ms.
func TestPausesBesideLongPrompts(t *testing.T) {
	gom := gomega.NewWithT(t)
	maxGap := func(in int) float64 {
		eng := NewEngine(Dense())
		var out Timing
		eng.OnDone = func(tim Timing) {
			if tim.ID == "stream" {
				out = tim
			}
		}
		eng.Add(Request{ID: "stream", InTokens: 100, OutTokens: 1500}, 0)
		eng.Run(200)
		eng.Add(Request{ID: "prompt", InTokens: in, OutTokens: 10}, 200)
		eng.Run(1e6)
		return out.MaxGap
	}
	gom.Expect(maxGap(12000)).To(gomega.BeNumerically("~", 125, 15))
	gom.Expect(maxGap(45000)).To(gomega.BeNumerically(">", 220))
}

// TestCachedPartsAreNotPrefilledAgain checks that a cached prefix is not prefilled again, unless it was
// evicted in between.
func TestCachedPartsAreNotPrefilledAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	spec := Dense()
	spec.CacheTokens = 12000
	eng := NewEngine(spec)
	firsts := map[string]float64{}
	eng.OnFirst = func(tim Timing) { firsts[tim.ID] = tim.FirstEvent }
	at := 0.0
	send := func(id, prt string) float64 {
		eng.Add(Request{ID: id, Parts: []string{prt}, Sizes: []int{5000}, InTokens: 5100, OutTokens: 5}, at)
		eng.Run(at + 1000)
		at += 1000
		return firsts[id] - at + 1000
	}
	cold := send("1", "a")
	gom.Expect(send("2", "a")).To(gomega.BeNumerically("<", cold/2))
	send("3", "b")
	send("4", "c")
	gom.Expect(send("5", "a")).To(gomega.BeNumerically("~", cold, 5))
}
