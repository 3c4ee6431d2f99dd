package dial

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/reach"
)

// standalone returns the dialer of an instance without others that knows no endpoint.
func standalone() *Dialer {
	return New(Setup{Direct: Direct(EndpointSilence).DialContext, Endpoints: func() []proto.Endpoint { return nil }, Meter: meter.New(), Log: zerolog.Nop()})
}

// Guards against taking a broken connection for a crash of its endpoint, and against missing the
// crash of an endpoint that closes its listener last.
func TestCrashIsDetectedByRefusal(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	dlr, addr := standalone(), lsn.Addr().String()
	gom.Expect(dlr.ProcessEnded(t.Context(), addr)).To(gomega.BeFalse())
	time.AfterFunc(crashCheckInterval/2, func() { _ = lsn.Close() })
	gom.Expect(dlr.ProcessEnded(t.Context(), addr)).To(gomega.BeTrue())
	gom.Expect(dlr.ProcessEnded(t.Context(), addr)).To(gomega.BeTrue())
}

// Guards against missing a crash because a packet was lost, and against dialling for ever.
func TestUnansweredDialIsRetried(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, tst := range []struct {
		results []reach.Result
		want    reach.Result
	}{
		{[]reach.Result{reach.Unanswered, reach.Refused}, reach.Refused},
		{[]reach.Result{reach.Unanswered, reach.Unanswered, reach.Refused}, reach.Refused},
		{[]reach.Result{reach.Unanswered, reach.Unanswered, reach.Unanswered}, reach.Unanswered},
	} {
		dials := 0
		gom.Expect(observe(t.Context(), func(context.Context) reach.Result {
			dials++
			return tst.results[dials-1]
		})).To(gomega.Equal(tst.want))
		gom.Expect(dials).To(gomega.Equal(len(tst.results)))
	}
}

// Guards against taking a partition for a crash: of this instance, or of the one that is asked.
func TestCrashNeedsSoundWitness(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	gom.Expect(nwk.origin.ProcessEnded(t.Context(), nwk.addr)).To(gomega.BeFalse(), "another instance reaches the endpoint")
	_ = nwk.endpoint.Close()
	nwk.blocked.Store(true)
	gom.Expect(nwk.origin.ProcessEnded(t.Context(), nwk.addr)).To(gomega.BeFalse(), "the other instance is partitioned too")
	nwk.blocked.Store(false)
	gom.Eventually(func() bool { return nwk.origin.ProcessEnded(t.Context(), nwk.addr) }).Should(gomega.BeTrue())
}

// Guards against taking a partition for a crash where there is no other instance to ask.
func TestLoneInstanceChecksOtherEndpoints(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.origin.set.Relays = func() []reach.Relay { return nil }
	_ = nwk.endpoint.Close()
	gom.Expect(nwk.origin.ProcessEnded(t.Context(), nwk.addr)).To(gomega.BeFalse())
	nwk.healed.Store(true)
	gom.Eventually(func() bool { return nwk.origin.ProcessEnded(t.Context(), nwk.addr) }).Should(gomega.BeTrue())
}
