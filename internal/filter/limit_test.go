package filter

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
)

// Guards against an instance that refuses bookings because it is fully occupied by drafts: part
// of its capacity is reserved, and the highest priority may use all of it.
func TestCapacityReservedByPriority(t *testing.T) {
	gom := gomega.NewWithT(t)
	lft := &limitFilter{maxInFlight: 1000}
	gom.Expect(lft.maxInFlightFor(0)).To(gomega.Equal(700))
	gom.Expect(lft.maxInFlightFor(3)).To(gomega.Equal(800))
	gom.Expect(lft.maxInFlightFor(9)).To(gomega.Equal(1000))
}

// Guards against sporadic refusals of callers that request the longest life of a key by their
// own clock, which is some milliseconds ahead of that of the instance.
func TestExpiryOfCallerWithFastClock(t *testing.T) {
	gom := gomega.NewWithT(t)
	now := clock.Milli(1_000_000)
	gom.Expect(isValidExpiry(now+clock.Hour+2, now, clock.Hour)).To(gomega.BeTrue())
	gom.Expect(isValidExpiry(now+clock.Hour+clockSkew+1, now, clock.Hour)).To(gomega.BeFalse())
	gom.Expect(isValidExpiry(now+clock.Day+1, now, clock.Day)).To(gomega.BeFalse(), "beyond the longest life in a ledger")
	gom.Expect(isValidExpiry(now+claim.MaxLife, now, clock.Day)).To(gomega.BeTrue())
	gom.Expect(isValidExpiry(0, now, clock.Hour)).To(gomega.BeFalse())
	gom.Expect(isValidExpiry(-1, now, clock.Hour)).To(gomega.BeFalse())
}
