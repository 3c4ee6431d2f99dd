package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/sever"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

// lateRequests are requests of all kinds with the times that their callers have, in milliseconds; none for the
// timeout of the route.
func lateRequests() []request {
	var list []request
	for _, path := range []string{plainPath, "/log/x", "/stream/x", streamPath, stagedPath} {
		for _, left := range []string{"300", "700", "1200", "4000", ""} {
			rqt := request{path: path, header: map[string]string{fake.HeaderDeadline: left}}
			if path == stagedPath {
				rqt.header[fake.HeaderItems], rqt.header[fake.HeaderItemKey] = "1,1", "pk"
			}
			list = append(list, rqt)
		}
	}
	return list
}

// timedExchange is an exchange with the time that it took.
type timedExchange struct {
	exchange
	took time.Duration
}

// isOverdue reports whether the deadline of the request had passed when the exchange ended.
func (txc timedExchange) isOverdue() bool {
	left, err := strconv.Atoi(txc.req.header[fake.HeaderDeadline])
	return err == nil && txc.took >= time.Duration(left)*time.Millisecond
}

// sendThrough sends all lateRequests to an instance at an interval until the instance has stopped. It returns the exchanges whose
// connection was accepted.
func (tbd *testbed) sendThrough(node int, interval time.Duration, stopped <-chan struct{}) []timedExchange {
	var grp sync.WaitGroup
	var mtx sync.Mutex
	var list []timedExchange
	for round := 0; ; round++ {
		select {
		case <-stopped:
			grp.Wait()
			return list
		case <-time.After(interval):
		}
		for i, rqt := range lateRequests() {
			rqt.id = fmt.Sprintf("late-%d-%d", round, i)
			rqt.body = rqt.id
			grp.Go(func() {
				sent := time.Now()
				rsp := tbd.send(node, rqt)
				took := time.Since(sent)
				if errors.Is(rsp.err, syscall.ECONNREFUSED) {
					return
				}
				mtx.Lock()
				defer mtx.Unlock()
				list = append(list, timedExchange{exchange{rqt, rsp}, took})
			})
		}
	}
}

// judge returns how many of the exchanges were answered with success and how many were refused, and what is wrong with the others:
// those that were cut, that ended with neither, or that were refused and ran.
func (tbd *testbed) judge(list []timedExchange) (served, refused int, wrong []string) {
	ran := map[string]bool{}
	for _, run := range append(runs(tbd.plain), runs(tbd.engines)...) {
		ran[run.ID] = true
	}
	for _, exc := range list {
		rsp, id := exc.res, exc.req.id
		var opr *net.OpError
		switch {
		case rsp.err == nil && rsp.status == http.StatusOK:
			served++
		case rsp.err == nil && rsp.status == http.StatusServiceUnavailable && !ran[id]:
			refused++
		case exc.isOverdue() && rsp.status != http.StatusServiceUnavailable, errors.As(rsp.err, &opr) && !ran[id]:
			// Its own deadline has passed, or its connection was closed before it was read.
		default:
			wrong = append(wrong, fmt.Sprintf("%s %s, deadline %s: %d %s %v, ran: %t", id, exc.req.path, exc.req.header[fake.HeaderDeadline], rsp.status, rsp.body, rsp.err, ran[id]))
		}
	}
	return served, refused, wrong
}

// Guards against requests that come late in a planned shutdown, are passed on to an endpoint and are cut off at its end: all
// kinds, with all deadlines, from its beginning to the last connection.
func TestShutdownCutsNoLateRequest(t *testing.T) {
	sdt := newShutdownTest(t, 2, 0)
	for _, ep := range append(sdt.engines, sdt.plain...) {
		ep.ClearFaults()
		// A stream has four events, and takes less than the shortest deadline.
		ep.Duration = 40 * time.Millisecond
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		sdt.nodes[0].Stop(context.Background())
	}()
	time.Sleep(50 * time.Millisecond)
	served, refused, wrong := sdt.judge(sdt.sendThrough(0, 100*time.Millisecond, stopped))
	t.Logf("%d served, %d refused", served, refused)
	expect(wrong).To(gomega.BeEmpty())
	expect(served).To(gomega.BeNumerically(">", 10))
	expect(refused).To(gomega.BeNumerically(">", 10))
}

// Guards against the same through another instance, whose connections to endpoints the stopping one relays.
func TestShutdownCutsNoRelayedRequest(t *testing.T) {
	gomega.RegisterTestingT(t)
	tbd := setUp(&testbed{shutdownTimeout: shutdownTimeout, tokenMaxViewAge: clock.Minute, cleanup: t.Cleanup}, 0)
	prts := tbd.startPartitioned(2)
	prts[0].Set(sever.Refuses, sever.Open)
	eventually(func() int { return tbd.send(0, request{path: plainPath}).status }, pollTimeout).Should(equal(http.StatusOK))
	for _, ep := range append(tbd.engines, tbd.plain...) {
		ep.Duration = shutdownTimeout.Duration()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tbd.nodes[1].Stop(context.Background())
	}()
	// From the signal on, also before the other instance knows of the shutdown.
	eventually(func() bool { return tbd.nodes[1].ctl.View().Leaving() }, pollTimeout, time.Millisecond).Should(gomega.BeTrue())
	_, refused, wrong := tbd.judge(tbd.sendThrough(0, 20*time.Millisecond, stopped))
	expect(wrong).To(gomega.BeEmpty())
	expect(refused).To(gomega.BeNumerically(">", 0))
}
