package relay

import (
	"net"
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
