package state

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
)

// awaited returns how long a request waits for a list of endpoints.
func awaited(ctl *Control) time.Duration {
	began := time.Now()
	ctl.AwaitList(context.Background())
	return time.Since(began)
}

// Guards against requests that are sent by a list of endpoints from before a pause of the process, which has not been
// read anew yet.
func TestRequestsWaitForANewList(t *testing.T) {
	gom := gomega.NewWithT(t)
	var held atomic.Bool
	release := make(chan struct{})
	ctl := started(t, proto.Store{Endpoints: func(ctx context.Context) (proto.Listing, error) {
		if held.Load() {
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return proto.Listing{Endpoints: list("a")}, ctx.Err()
	}})
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	gom.Expect(awaited(ctl)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	held.Store(true)
	time.Sleep(clock.FromDuration(pollInterval).Duration() + dueInterval.Duration())
	ctl.loop.Do(t.Context(), func(now clock.Milli) {
		ctl.endpts.listed.asOf = now - 2*maxSendListAge
		ctl.steppedAt.Store(int64(now - 2*minPause))
		ctl.recordStep(now)
	})
	time.AfterFunc(150*time.Millisecond, func() {
		held.Store(false)
		close(release)
	})
	took := awaited(ctl)
	gom.Expect(took).To(gomega.And(gomega.BeNumerically(">=", 140*time.Millisecond), gomega.BeNumerically("<", maxListWait.Duration())))
	gom.Expect(ctl.View().ListAge(ctl.set.Clock.Now())).To(gomega.BeNumerically("<", maxSendListAge))
}

// Guards against requests that wait for a list while the store can't be read: without a pause not at all, and after one
// no longer than the first of them.
func TestRequestsDontWaitForAStoreThatIsDown(t *testing.T) {
	gom := gomega.NewWithT(t)
	var down atomic.Bool
	ctl := started(t, proto.Store{Endpoints: func(context.Context) (proto.Listing, error) {
		if down.Load() {
			return proto.Listing{}, errStoreAway
		}
		return proto.Listing{Endpoints: list("a")}, nil
	}})
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	down.Store(true)
	gom.Eventually(func() clock.Milli { return ctl.View().ListAge(ctl.set.Clock.Now()) }, soon).Should(gomega.BeNumerically(">", maxSendListAge))
	gom.Expect(awaited(ctl)).To(gomega.BeNumerically("<", maxListWait.Duration()/2))
	ctl.loop.Do(t.Context(), func(now clock.Milli) {
		ctl.steppedAt.Store(int64(now - 2*minPause))
		ctl.recordStep(now)
	})
	gom.Expect(awaited(ctl)).To(gomega.And(gomega.BeNumerically(">", maxListWait.Duration()/2), gomega.BeNumerically("<", 2*maxListWait.Duration())))
	gom.Expect(awaited(ctl) + awaited(ctl) + awaited(ctl)).To(gomega.BeNumerically("<", maxListWait.Duration()/2))
}

// Guards against a shutdown that counts its time from the end of a pause of the process, and against one that is cut short
// by a pause of long ago.
func TestStalledSince(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := &Control{set: Setup{Log: zerolog.Nop(), Meter: meter.New()}}
	since := func(now clock.Milli) clock.Milli {
		at, _ := ctl.StalledSince(now)
		return at
	}
	gom.Expect(since(1000)).To(gomega.BeZero(), "before the first step")
	ctl.recordStep(1000)
	gom.Expect(since(1000 + minStall/2)).To(gomega.BeZero())
	gom.Expect(since(1000 + minStall)).To(gomega.Equal(clock.Milli(1000)))
	ctl.recordStep(1000 + minStall)
	gom.Expect(since(1000 + minStall + justEnded/2)).To(gomega.Equal(clock.Milli(1000)))
	ctl.recordStep(1000 + minStall + justEnded)
	gom.Expect(since(1000 + minStall + justEnded)).To(gomega.BeZero())
}
