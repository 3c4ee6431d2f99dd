package homes

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestCame: a request is remembered from when it came first, however often it comes back,
// and is a new one after the time that callers have. What is kept is bounded: a flood of
// requests pushes out those that came first.
func TestCame(t *testing.T) {
	gom := gomega.NewWithT(t)
	var cme came
	gom.Expect(cme.spent(7, 1000)).To(gomega.BeZero())
	gom.Expect(cme.spent(8, 1100)).To(gomega.BeZero())
	gom.Expect(cme.spent(7, 1400)).To(gomega.Equal(clock.Milli(400)))
	gom.Expect(cme.spent(7, 3000)).To(gomega.Equal(clock.Milli(2000)))
	gom.Expect(cme.spent(7, 1001+backFor)).To(gomega.BeZero())
	for mark := range uint64(3 * backMost) {
		cme.spent(100+mark, 50000)
	}
	gom.Expect(len(cme.first)).To(gomega.BeNumerically("<=", backMost+1))
	gom.Expect(cme.order).To(gomega.HaveLen(len(cme.first)))
}
