package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/zlog"
)

// shortShutdownSeed draws a shorter time for a shutdown than the routes' timeout, and a longer one than pausedFor.
const shortShutdownSeed = 923

// Guards against a planned shutdown that goes on beyond its time, counted from its signal, because the process stood still
// when that came: whoever ends the process then cuts off the requests in flight, which have got no answer.
func TestShutdownCountsPauseOfProcess(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	sr := newSoakRun(t, buildDaemon(t), runSpec{seed: shortShutdownSeed, faultKinds: variedFromKinds, tokenMaxViewAge: 2 * pausedFor}, 2)
	if !sr.awaitServing() {
		t.Fatal("the instances do not serve")
	}
	ins := sr.insts[0]
	for _, ep := range sr.servingEndpoints("bookings") {
		ep.Duration = 2 * ins.shutdownTimeout
	}
	done := make(chan *attempt, 1)
	go func() {
		done <- sr.newCaller(1).do(&attempt{requestKind: requestKinds[0], key: permanentKey, ins: ins, deadline: 3 * ins.shutdownTimeout})
	}()
	time.Sleep(time.Second)
	ins.signal(syscall.SIGSTOP)
	time.Sleep(minGap)
	ins.signal(syscall.SIGTERM)
	signalled := time.Now()
	time.Sleep(pausedFor)
	ins.signal(syscall.SIGCONT)
	// The platform ends the process when its time is up.
	ins.awaitEnd(time.Until(signalled.Add(ins.shutdownTimeout)), func() { t.Errorf("the shutdown took longer than %v", ins.shutdownTimeout) })
	t.Logf("ended %v after the signal", time.Since(signalled))
	att := <-done
	t.Logf("%d %s", att.status, att.answer)
	if att.status == 0 {
		t.Error("the request got no answer")
	}
}
