package state

import (
	"context"
	"sync"
	"time"
)

// signal notifies any number of waiters of the first occurrence of an event. It is made by
// [newSignal].
type signal struct {
	once sync.Once
	ch   chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// fire notifies the waiters; further calls have no effect.
func (sig *signal) fire() { sig.once.Do(func() { close(sig.ch) }) }

// wait waits for the signal, up to a span.
func (sig *signal) wait(ctx context.Context, span time.Duration) {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	select {
	case <-sig.ch:
	case <-tmr.C:
	case <-ctx.Done():
	}
}
