// Package loop provides the event loop that owns an instance's control state.
//
// One goroutine runs all events, so that each has exclusive access to the state. Workers beside it
// do blocking work, and return their results as events.
package loop

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/pkg/clock"
)

// queueLength is the capacity of the event queue.
const queueLength = 1024

// Loop is an event loop. Use [New] to create one.
type Loop struct {
	clk     clock.Clock
	dropped func()
	events  chan func(now clock.Milli)
	workers sync.WaitGroup
	ctx     context.Context
}

// New returns a loop that is not running yet; dropped is called for each event that found the queue
// full.
func New(clk clock.Clock, dropped func()) *Loop {
	return &Loop{clk: clk, dropped: dropped, events: make(chan func(clock.Milli), queueLength)}
}

// Run handles events until the context ends, then waits for the workers. begin runs first, step at
// intervals, and publish after each event and step.
func (lp *Loop) Run(ctx context.Context, every time.Duration, begin func(), step, publish func(now clock.Milli)) {
	lp.ctx = ctx
	begin()
	tkr := time.NewTicker(every)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			lp.workers.Wait()
			return
		case event := <-lp.events:
			event(lp.clk.Now())
		case <-tkr.C:
			step(lp.clk.Now())
		}
		publish(lp.clk.Now())
	}
}

// Go starts a worker, which Run waits for at its end. It may be called from the loop and its
// workers only.
func (lp *Loop) Go(work func(ctx context.Context)) {
	lp.workers.Add(1)
	go func() {
		defer lp.workers.Done()
		work(lp.ctx)
	}()
}

// Do runs an event on the loop and waits for it. It returns false if the context ended first; the
// event may then run later or never.
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

// Get runs a query on the loop and returns its answer; ok is false if the context ended first. The
// query may then still run later. It must therefore return its answer: setting a variable of the
// caller would be a data race.
func Get[T any](ctx context.Context, lp *Loop, query func(now clock.Milli) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	if !lp.Do(ctx, func(now clock.Milli) { answers <- query(now) }) {
		return answer, false
	}
	return <-answers, true
}

// Offer queues an event without waiting. If the queue is full the event is dropped: its content
// is received again soon.
func (lp *Loop) Offer(event func(now clock.Milli)) {
	select {
	case lp.events <- event:
	default:
		lp.dropped()
	}
}

// Queue queues an event without waiting. Unlike with [Loop.Offer] the event is not dropped if the queue
// is full, but comes after those that are queued meanwhile.
func (lp *Loop) Queue(event func(now clock.Milli)) {
	select {
	case lp.events <- event:
	default:
		lp.Go(func(ctx context.Context) { lp.Do(ctx, event) })
	}
}

// Context returns the context that Run was called with.
func (lp *Loop) Context() context.Context { return lp.ctx }

// QueueLen returns the number of queued events.
func (lp *Loop) QueueLen() int { return len(lp.events) }
