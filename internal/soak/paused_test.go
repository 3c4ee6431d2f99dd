package soak

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/zlog"
	"amaranthvalve/platform/fake"
)

const (
	// pausedFor is how long the process of an instance stands still, and pausedRequests the number of requests that
	// are sent to it meanwhile.
	pausedFor      = 2600 * time.Millisecond
	pausedRequests = 24
	// drainTolerance is how long after the store took its word a leaving endpoint may get requests.
	drainTolerance = 2 * time.Second
)

// Guards against requests and batches to endpoints that left while the instance's process stood still: the instance
// goes on with the list of endpoints from before.
func TestPausedInstanceSendsNothingToEndpointsThatLeft(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	sr := newSoakRun(t, buildDaemon(t), runSpec{seed: 1, faultKinds: variedFromKinds - 1, tokenMaxViewAge: 2 * pausedFor}, 3)
	if !sr.awaitServing() {
		t.Fatal("the instances do not serve")
	}
	for i, ins := range sr.insts {
		// All instances have had a list since the last round.
		time.Sleep(settleTime)
		ins.signal(syscall.SIGSTOP)
		resume := time.Now().Add(pausedFor)
		time.Sleep(minGap)
		var wgr sync.WaitGroup
		var leaving []*endpoint
		for _, pool := range []string{"bookings", "rosters"} {
			ep := sr.servingEndpoints(pool)[0]
			leaving = append(leaving, ep)
			sr.addEndpoint(pool)
			wgr.Go(func() { sr.drain(ep) })
		}
		atts := make([]*attempt, pausedRequests)
		for n := range atts {
			clr := sr.newCaller(100*i + n)
			knd := requestKinds[0]
			if n%2 > 0 {
				knd = requestKinds[len(requestKinds)-1]
			}
			wgr.Go(func() {
				time.Sleep(time.Second)
				atts[n] = clr.do(&attempt{requestKind: knd, key: permanentKey, ins: ins, deadline: longDeadline})
			})
		}
		time.Sleep(time.Until(resume))
		ins.signal(syscall.SIGCONT)
		wgr.Wait()
		for _, att := range atts {
			if att.status != http.StatusOK {
				t.Errorf("%s answered %s, route %s, with %d: %s", ins.name, att.id, att.route, att.status, att.answer)
			}
		}
		for _, ep := range leaving {
			checkDrained(t, ins, ep)
		}
	}
}

// checkDrained checks that a leaving endpoint got no work later than drainTolerance after the store took its word.
func checkDrained(t *testing.T, ins *instance, ep *endpoint) {
	late := 0
	for _, arr := range ep.AllArrivals() {
		isWork := arr.Path == fake.PathBatch || strings.HasPrefix(arr.Path, "/"+requestKinds[0].route+"/")
		if isWork && arr.At.Sub(ep.drainedAt) > drainTolerance {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%s was paused, and %s got %d requests more than %v after its entry was marked as leaving", ins.name, ep.ID(), late, drainTolerance)
	}
}
