package front

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an answer that is cut off by a timer which fired as it began.
func TestAnsweredAttemptIsNotEnded(t *testing.T) {
	gom := gomega.NewWithT(t)
	var ovt overtime
	canceled, asked := false, false
	gom.Expect(ovt.settle()).To(gomega.BeFalse())
	ovt.end(func() bool { asked = true; return true }, func() { canceled = true })
	gom.Expect(canceled).To(gomega.BeFalse())
	gom.Expect(asked).To(gomega.BeFalse(), "nothing is paid for an attempt that is not made")
}

// Guards against an attempt that was ended and counts as answered.
func TestEndedAttemptIsTold(t *testing.T) {
	gom := gomega.NewWithT(t)
	var ovt overtime
	canceled := false
	ovt.end(func() bool { return true }, func() { canceled = true })
	gom.Expect(canceled).To(gomega.BeTrue())
	gom.Expect(ovt.settle()).To(gomega.BeTrue())
}

// Guards against an attempt that is ended though no other one may be made.
func TestAttemptIsLeftWhereNoOtherIsAllowed(t *testing.T) {
	gom := gomega.NewWithT(t)
	var ovt overtime
	ovt.end(func() bool { return false }, func() { t.Error("ended") })
	gom.Expect(ovt.settle()).To(gomega.BeFalse())
}
