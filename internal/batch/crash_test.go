package batch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Guards against requests that are suspected of every crash of an endpoint because their items keep
// sharing batches with those of the request that causes the crashes.
func TestItemsRunAloneAfterCrash(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(20)
	fxt.btr.pool("ranks").set.ProcessEnded = func(context.Context, string) bool { return true }
	ends := make(chan OrderResult, 3)
	for i := range 3 {
		go func() {
			ends <- fxt.btr.Fill(context.Background(), Order{
				Pool: "ranks", Request: fmt.Sprint(i), Count: 1, Key: "k", Due: 20 * clock.Second, Expires: 30 * clock.Second,
			})
		}()
	}
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive(gomega.HaveLen(3)))
	fxt.errs <- errors.New("connection reset")
	for range 3 {
		gom.Eventually(fxt.calls, soon).Should(gomega.Receive(gomega.HaveLen(1)))
		fxt.errs <- nil
	}
	for range 3 {
		var orr OrderResult
		gom.Eventually(ends, soon).Should(gomega.Receive(&orr))
		gom.Expect(orr.Crashed).To(gomega.Equal([]ident.Process{"rank-1"}))
	}
}

// Guards against counting a crash against a request when the endpoint only cut a connection, or had
// ended before the call.
func TestCutConnectionIsNoCrash(t *testing.T) {
	refused := proto.Error.Wrap(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	for _, tst := range []struct {
		err   error
		ended bool
	}{{errors.New("connection reset"), false}, {refused, true}} {
		gom := gomega.NewWithT(t)
		fxt := newFixture(20)
		fxt.btr.pool("ranks").set.ProcessEnded = func(context.Context, string) bool { return tst.ended }
		// The inputs of a call that takes longer are released, and it isn't repeated.
		fxt.errs <- tst.err
		fxt.errs <- nil
		out := fxt.order()
		for range 2 {
			gom.Eventually(fxt.calls, soon).Should(gomega.Receive())
		}
		var orr OrderResult
		gom.Eventually(out, soon).Should(gomega.Receive(&orr))
		gom.Expect(orr.Results).To(gomega.HaveLen(2))
		gom.Expect(orr.Crashed).To(gomega.BeEmpty())
	}
}
