package filter

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
)

// TestBookingsHaveRoomLeft: an instance is as full of drafts as it may be. There
// is room for bookings, and all of it is theirs at the highest priority.
func TestBookingsHaveRoomLeft(t *testing.T) {
	gom := gomega.NewWithT(t)
	lft := &limitFilter{most: 1000}
	gom.Expect(lft.room(0)).To(gomega.Equal(700))
	gom.Expect(lft.room(3)).To(gomega.Equal(800))
	gom.Expect(lft.room(9)).To(gomega.Equal(1000))
}

// TestExpiryOfACallerThatIsAhead: a caller asks for the longest life of a key by its own
// clock, which is some milliseconds ahead of ours, as clocks of two processes are. Refused
// for that, a booking would fail now and then for no reason that its caller can see.
func TestExpiryOfACallerThatIsAhead(t *testing.T) {
	gom := gomega.NewWithT(t)
	now := clock.Milli(1_000_000)
	gom.Expect(expiryFits(now+clock.Hour+2, now, clock.Hour)).To(gomega.BeTrue())
	gom.Expect(expiryFits(now+clock.Hour+clockSkew+1, now, clock.Hour)).To(gomega.BeFalse())
	gom.Expect(expiryFits(now+clock.Day+1, now, clock.Day)).To(gomega.BeFalse(), "a ledger forgets it then")
	gom.Expect(expiryFits(now+claim.MaxLife, now, clock.Day)).To(gomega.BeTrue())
	gom.Expect(expiryFits(0, now, clock.Hour)).To(gomega.BeFalse())
	gom.Expect(expiryFits(-1, now, clock.Hour)).To(gomega.BeFalse())
}
