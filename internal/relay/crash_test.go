package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against taking a broken connection for a crash of its endpoint, and against missing the
// crash of an endpoint that closes its listener last.
func TestCrashIsDetectedByRefusal(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(ProcessEnded(t.Context(), lsn.Addr().String())).To(gomega.BeFalse())
	time.AfterFunc(crashCheckInterval/2, func() { _ = lsn.Close() })
	gom.Expect(ProcessEnded(t.Context(), lsn.Addr().String())).To(gomega.BeTrue())
	gom.Expect(ProcessEnded(t.Context(), lsn.Addr().String())).To(gomega.BeTrue())
}

// Guards against missing a crash because a packet was lost, and against dialling for ever.
func TestUnansweredDialIsRetried(t *testing.T) {
	gom := gomega.NewWithT(t)
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, tst := range []struct {
		answers []error
		ended   bool
	}{
		{[]error{timeout, syscall.ECONNREFUSED}, true},
		{[]error{timeout, timeout, syscall.ECONNREFUSED}, true},
		{[]error{timeout, timeout, timeout}, false},
	} {
		dials := 0
		gom.Expect(refusesConnections(t.Context(), func(context.Context) (net.Conn, error) {
			dials++
			return nil, tst.answers[dials-1]
		})).To(gomega.Equal(tst.ended))
		gom.Expect(dials).To(gomega.Equal(len(tst.answers)))
	}
}
