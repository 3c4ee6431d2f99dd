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

// TestHeldAttemptIsNotCanceled guards against the cancellation of a slow attempt while a hedge is in flight, and against
// one that lost and goes on.
func TestHeldAttemptIsNotCanceled(t *testing.T) {
	var cgd cancelGuard
	count := 0
	may, cancel := func() bool { return true }, func() { count++ }
	if !cgd.hold() || cgd.cancelPending(may, cancel) || count != 0 {
		t.Fatal("a held attempt was canceled")
	}
	cgd.unhold()
	if !cgd.cancelPending(may, cancel) || cgd.cancelPending(may, cancel) || count != 1 {
		t.Fatalf("canceled %d times", count)
	}
	if cgd.hold() {
		t.Fatal("a canceled attempt was held")
	}
	lost := cancelGuard{}
	lost.hold()
	if lost.cancelLost(cancel); !lost.settle() || count != 2 {
		t.Fatal("an attempt that lost goes on")
	}
	ended := cancelGuard{}
	ended.settle()
	if ended.cancelLost(cancel); ended.hold() || ended.settle() || count != 2 {
		t.Fatal("an attempt that has ended was canceled")
	}
}
