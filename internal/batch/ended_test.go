package batch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Guards against requests that are suspected of each end of an endpoint because their pieces go
// into one call with those of the request that ends it, again and again.
func TestPiecesGoAloneAfterAnEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(20)
	bnc.desk.pool("ranks").set.Ended = func(context.Context, string) bool { return true }
	ends := make(chan Filled, 3)
	for i := range 3 {
		go func() {
			ends <- bnc.desk.Make(context.Background(), Order{
				Pool: "ranks", Request: fmt.Sprint(i), Count: 1, Key: "k", Due: 20 * clock.Second, Until: 30 * clock.Second,
			})
		}()
	}
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive(gomega.HaveLen(3)))
	bnc.ends <- errors.New("connection reset")
	for range 3 {
		gom.Eventually(bnc.begun, soon).Should(gomega.Receive(gomega.HaveLen(1)))
		bnc.ends <- nil
	}
	for range 3 {
		var fld Filled
		gom.Eventually(ends, soon).Should(gomega.Receive(&fld))
		gom.Expect(fld.Ended).To(gomega.Equal([]ident.Process{"rank-1"}))
	}
}

// Guards against endpoints that count as ended although they only cut a connection, had no place,
// or gave no answer in time.
func TestACutCallIsNoEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(20)
	bnc.desk.pool("ranks").set.Ended = func(context.Context, string) bool { return false }
	out := bnc.order()
	for _, err := range []error{errors.New("connection reset"), nil} {
		gom.Eventually(bnc.begun, soon).Should(gomega.Receive())
		bnc.ends <- err
	}
	var fld Filled
	gom.Eventually(out, soon).Should(gomega.Receive(&fld))
	gom.Expect(fld.Results).To(gomega.HaveLen(2))
	gom.Expect(fld.Ended).To(gomega.BeEmpty())
}
