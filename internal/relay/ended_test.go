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

// Guards against taking a broken connection for the end of its endpoint, and against missing
// the end of one that closes its listener last.
func TestEndedIsRefused(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(Ended(t.Context(), lsn.Addr().String())).To(gomega.BeFalse())
	time.AfterFunc(endedAgain/2, func() { _ = lsn.Close() })
	gom.Expect(Ended(t.Context(), lsn.Addr().String())).To(gomega.BeTrue())
	gom.Expect(Ended(t.Context(), lsn.Addr().String())).To(gomega.BeTrue())
}

// Guards against missing an end since a packet was lost on the way, and against trying for ever.
func TestSilentAddressesAreTriedAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	silent := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, tst := range []struct {
		answers []error
		ended   bool
	}{
		{[]error{silent, syscall.ECONNREFUSED}, true},
		{[]error{silent, silent, syscall.ECONNREFUSED}, true},
		{[]error{silent, silent, silent}, false},
	} {
		asked := 0
		gom.Expect(ended(t.Context(), func(context.Context) (net.Conn, error) {
			asked++
			return nil, tst.answers[asked-1]
		})).To(gomega.Equal(tst.ended))
		gom.Expect(asked).To(gomega.Equal(len(tst.answers)))
	}
}
