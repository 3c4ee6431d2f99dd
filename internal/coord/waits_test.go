package coord

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestArrivals checks that a request is recognised from its first arrival, however often it is
// retried, and counts as new after arrivalTTL. The records are bounded: a flood of requests evicts
// the oldest.
func TestArrivals(t *testing.T) {
	gom := gomega.NewWithT(t)
	var arr arrivals
	gom.Expect(arr.elapsed(7, 1000)).To(gomega.BeZero())
	gom.Expect(arr.elapsed(8, 1100)).To(gomega.BeZero())
	gom.Expect(arr.elapsed(7, 1400)).To(gomega.Equal(clock.Milli(400)))
	gom.Expect(arr.elapsed(7, 3000)).To(gomega.Equal(clock.Milli(2000)))
	gom.Expect(arr.elapsed(7, 1001+arrivalTTL)).To(gomega.BeZero())
	for fp := range uint64(3 * maxArrivals) {
		arr.elapsed(100+fp, 50000)
	}
	gom.Expect(len(arr.first)).To(gomega.BeNumerically("<=", maxArrivals+1))
	gom.Expect(arr.order).To(gomega.HaveLen(len(arr.first)))
}
