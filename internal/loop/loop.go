// Package loop is the one thread that owns an instance's control state.
//
// Whatever is learned comes to it as an event and runs there alone; so each event sees
// a state that nobody else touches. Workers beside it do what waits, and bring back
// what they learned as events.
package loop

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/pkg/clock"
)

// eventRoom is the length of the thread's channel.
const eventRoom = 1024

// Loop is a control thread. It is made by [New].
type Loop struct {
	clk     clock.Clock
	dropped func()
	events  chan func(now clock.Milli)
	work    sync.WaitGroup
	ctx     context.Context
}

// New returns a thread that has not started; dropped is told of each event for which
// there was no room.
func New(clk clock.Clock, dropped func()) *Loop {
	return &Loop{clk: clk, dropped: dropped, events: make(chan func(clock.Milli), eventRoom)}
}

// Run takes events until the context ends, then waits for the workers. step runs at
// intervals, publish after each event and step; begin runs first.
func (lp *Loop) Run(ctx context.Context, every time.Duration, begin func(), step, publish func(now clock.Milli)) {
	lp.ctx = ctx
	begin()
	tkr := time.NewTicker(every)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			lp.work.Wait()
			return
		case event := <-lp.events:
			event(lp.clk.Now())
		case <-tkr.C:
			step(lp.clk.Now())
		}
		publish(lp.clk.Now())
	}
}

// Go starts a worker that is waited for at the end; from the thread or its workers
// only.
func (lp *Loop) Go(work func(ctx context.Context)) {
	lp.work.Add(1)
	go func() {
		defer lp.work.Done()
		work(lp.ctx)
	}()
}

// Do runs an event on the thread and waits for it. It gives false if the context ended
// first; the event may then run later or never.
func (lp *Loop) Do(ctx context.Context, event func(now clock.Milli)) bool {
	done := make(chan struct{})
	select {
	case lp.events <- func(now clock.Milli) { event(now); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Get runs a question on the thread and gives its answer; false if the context ended first. The
// question may then run later, and so its answer must come this way: a variable that it sets
// would be written while the asker has gone on.
func Get[T any](ctx context.Context, lp *Loop, question func(now clock.Milli) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	if !lp.Do(ctx, func(now clock.Milli) { answers <- question(now) }) {
		return answer, false
	}
	return <-answers, true
}

// Offer hands an event over without waiting. When there is no room it is dropped:
// what is offered is learned again in a moment.
func (lp *Loop) Offer(event func(now clock.Milli)) {
	select {
	case lp.events <- event:
	default:
		lp.dropped()
	}
}

// Context gives the context that ends with the thread.
func (lp *Loop) Context() context.Context { return lp.ctx }

// Waiting gives the number of events that wait.
func (lp *Loop) Waiting() int { return len(lp.events) }
