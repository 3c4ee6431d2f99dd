package state

import (
	"context"
	"sync"
	"time"
)

// signal tells any number of waiters that something has happened for the first time. It is made
// by [newSignal].
type signal struct {
	once sync.Once
	ch   chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// give tells it; once is enough.
func (sig *signal) give() { sig.once.Do(func() { close(sig.ch) }) }

// wait waits for it, for a span at the most.
func (sig *signal) wait(ctx context.Context, span time.Duration) {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	select {
	case <-sig.ch:
	case <-tmr.C:
	case <-ctx.Done():
	}
}
