package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/zlog"
)

const (
	// pausedFor is how long the process of an instance stands still, and pausedRequests the number of requests that
	// are sent to it meanwhile.
	pausedFor      = 2600 * time.Millisecond
	pausedRequests = 24
	// drainTolerance is how long after the store took its word a leaving endpoint may get requests.
	drainTolerance = 2 * time.Second
)

// Guards against requests to endpoints that left while the instance's process stood still: the instance goes on with
// the list of endpoints from before.
func TestPausedInstanceSendsNothingToEndpointsThatLeft(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	sr := newSoakRun(t, buildDaemon(t), runSpec{seed: 1, faultKinds: variedFromKinds - 1, tokenMaxViewAge: 2 * pausedFor}, 3)
	if !sr.awaitServing() {
		t.Fatal("the instances do not serve")
	}
	for i, ins := range sr.insts {
		// A list of which each reader and follower has been told again since the last round.
		time.Sleep(settleTime)
		ins.signal(syscall.SIGSTOP)
		resume := time.Now().Add(pausedFor)
		time.Sleep(minGap)
		leaving := sr.servingEndpoints("bookings")[0]
		sr.addEndpoint("bookings")
		var wgr sync.WaitGroup
		wgr.Go(func() { sr.drain(leaving) })
		for n := range pausedRequests {
			clr := sr.newCaller(100*i + n)
			wgr.Go(func() {
				time.Sleep(time.Second)
				clr.do(&attempt{requestKind: requestKinds[0], key: permanentKey, ins: ins, deadline: longDeadline})
			})
		}
		time.Sleep(time.Until(resume))
		ins.signal(syscall.SIGCONT)
		wgr.Wait()
		ran := 0
		for _, att := range sr.order {
			if att.ins == ins && att.status == 200 {
				ran++
			}
		}
		if ran < pausedRequests {
			t.Errorf("%s: %d of %d requests were answered 200", ins.name, ran, pausedRequests)
		}
		late := 0
		for _, run := range leaving.Runs() {
			if run.At.Sub(leaving.drainedAt) > drainTolerance {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%s sent %d requests to %s more than %v after its entry was marked as leaving", ins.name, late, leaving.ID(), drainTolerance)
		}
	}
}
