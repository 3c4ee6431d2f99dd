package front

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a response that is cut off by a timer which fired as the response began.
func TestAnsweredAttemptIsNotCanceled(t *testing.T) {
	gom := gomega.NewWithT(t)
	var cgd cancelGuard
	canceled, asked := false, false
	gom.Expect(cgd.settle()).To(gomega.BeFalse())
	cgd.cancelPending(func() bool { asked = true; return true }, func() { canceled = true })
	gom.Expect(canceled).To(gomega.BeFalse())
	gom.Expect(asked).To(gomega.BeFalse(), "nothing is paid for an attempt that is not made")
}

// Guards against a canceled attempt that counts as answered.
func TestCanceledAttemptIsReported(t *testing.T) {
	gom := gomega.NewWithT(t)
	var cgd cancelGuard
	canceled := false
	cgd.cancelPending(func() bool { return true }, func() { canceled = true })
	gom.Expect(canceled).To(gomega.BeTrue())
	gom.Expect(cgd.settle()).To(gomega.BeTrue())
}

// Guards against an attempt that is canceled though no other one may be made.
func TestAttemptContinuesWhereNoRepeatIsAllowed(t *testing.T) {
	gom := gomega.NewWithT(t)
	var cgd cancelGuard
	cgd.cancelPending(func() bool { return false }, func() { t.Error("ended") })
	gom.Expect(cgd.settle()).To(gomega.BeFalse())
}
