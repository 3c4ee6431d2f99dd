package stand

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/wire"
)

// TestHighPriorityPreempts guards against a stream of high priority that waits for a batch full
// of streams of low priority: it must advance at once, while one of the others pauses.
func TestHighPriorityPreempts(t *testing.T) {
	gom := gomega.NewWithT(t)
	eng := NewEngine("e", 1, 2).engine
	start := func(attempt string, priority int) *generation {
		gen, ok := eng.start(wire.Run{Attempt: attempt, Input: "x", MaxTokens: 100_000, Priority: priority, BudgetMs: 60_000})
		gom.Expect(ok).To(gomega.BeTrue())
		t.Cleanup(gen.stop)
		return gen
	}
	have := func(gen *generation) int {
		gen.mtx.Lock()
		defer gen.mtx.Unlock()
		return gen.generated
	}
	start("one", 3)
	second := start("two", 3)
	urgent := start("three", 9)
	gom.Eventually(func() int { return have(urgent) }, 5*time.Second).Should(gomega.BeNumerically(">", 20))
	stood := have(second)
	before := have(urgent)
	gom.Eventually(func() int { return have(urgent) }, 5*time.Second).Should(gomega.BeNumerically(">", before+20))
	gom.Expect(have(second)).To(gomega.BeNumerically("<=", stood+1))
}
