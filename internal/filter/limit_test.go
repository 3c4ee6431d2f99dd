package filter

import (
	"testing"

	"github.com/onsi/gomega"
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
