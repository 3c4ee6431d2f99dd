package model

import (
	"testing"

	"github.com/onsi/gomega"
)

// alone gives how a request fares at an idle engine.
func alone(spec Spec, req Request) Answer {
	eng := NewEngine(spec)
	var out Answer
	eng.Done = func(ans Answer) { out = ans }
	eng.Add(req, 0)
	eng.Run(1e6)
	return out
}

// TestFigures: times that an engine of the users' description takes, worked out by hand: five
// steps to the first event of a short prompt, 44 chunks of a long one, 290 tokens of a stream.
func TestFigures(t *testing.T) {
	gom := gomega.NewWithT(t)
	short := alone(Dense(), Request{ID: "s", In: 826, Out: 290})
	gom.Expect(short.First).To(gomega.BeNumerically("~", 38, 3))
	gom.Expect(short.End).To(gomega.BeNumerically("~", 1245, 20))
	gom.Expect(short.Pause).To(gomega.BeNumerically("~", 21, 1))
	long := alone(Dense(), Request{ID: "l", In: 45000, Out: 5})
	gom.Expect(long.First).To(gomega.BeNumerically("~", 1570, 40))
}

// TestPausesBesideLongPrompts: a stream runs while prompts are read beside it. One of 12,000
// tokens makes it pause for some 100 ms, one of 45,000 for more than 200.
func TestPausesBesideLongPrompts(t *testing.T) {
	gom := gomega.NewWithT(t)
	pause := func(in int) float64 {
		eng := NewEngine(Dense())
		var out Answer
		eng.Done = func(ans Answer) {
			if ans.ID == "stream" {
				out = ans
			}
		}
		eng.Add(Request{ID: "stream", In: 100, Out: 1500}, 0)
		eng.Run(200)
		eng.Add(Request{ID: "prompt", In: in, Out: 10}, 200)
		eng.Run(1e6)
		return out.Pause
	}
	gom.Expect(pause(12000)).To(gomega.BeNumerically("~", 125, 15))
	gom.Expect(pause(45000)).To(gomega.BeNumerically(">", 220))
}

// TestKeptPartsAreNotReadAgain: what was read for one request isn't read for the next, unless
// so much was read in between that it had to go.
func TestKeptPartsAreNotReadAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	spec := Dense()
	spec.Memory = 12000
	eng := NewEngine(spec)
	firsts := map[string]float64{}
	eng.First = func(ans Answer) { firsts[ans.ID] = ans.First }
	at := 0.0
	ask := func(id, prt string) float64 {
		eng.Add(Request{ID: id, Parts: []string{prt}, Sizes: []int{5000}, In: 5100, Out: 5}, at)
		eng.Run(at + 1000)
		at += 1000
		return firsts[id] - at + 1000
	}
	cold := ask("1", "a")
	gom.Expect(ask("2", "a")).To(gomega.BeNumerically("<", cold/2))
	ask("3", "b")
	ask("4", "c")
	gom.Expect(ask("5", "a")).To(gomega.BeNumerically("~", cold, 5))
}
