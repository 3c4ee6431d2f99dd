package contr

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
)

// Constants of the appender.
const (
	appendWait    = 3 * time.Second
	appendBackoff = 100 * time.Millisecond
	maxBackoff    = 2 * time.Second
	// maxBatch bounds the records of one append.
	maxBatch = 256
	// maxHeld bounds the records that wait through an outage.
	maxHeld = 16384
)

// appender brings records into one stream: one append at a time, which takes
// all that waits. The log takes several hundred appends a second for everybody,
// so that records are grouped, not appends made more.
//
// An append whose answer is lost is made again with the same records. Each fold
// counts a repeated record once, so that this is safe; giving up instead would
// leave a release or a settlement out, and the key held for good.
type appender struct {
	ctl    *Control
	stream string
	wake   chan struct{}

	mtx     sync.Mutex
	held    []appending
	sending bool
}

type appending struct {
	body json.RawMessage
	// until is the instant after which the record is not worth appending.
	until clock.Milli
	// sent is told the instant before each append that carries the record.
	sent func(at clock.Milli)
	// drop tells that the record must not be appended any more.
	drop func() bool
}

func newAppender(ctl *Control, stream string) *appender {
	app := &appender{ctl: ctl, stream: stream, wake: make(chan struct{}, 1)}
	ctl.goDo(app.run)
	return app
}

// add queues a record and gives false when too many wait.
func (app *appender) add(apg appending) bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	if len(app.held) >= maxHeld {
		return false
	}
	app.held = append(app.held, apg)
	select {
	case app.wake <- struct{}{}:
	default:
	}
	return true
}

func (app *appender) run(ctx context.Context) {
	backoff := appendBackoff
	for {
		batch := app.take(app.ctl.set.Clock.Now())
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-app.wake:
			}
			continue
		}
		if app.send(ctx, batch) {
			backoff = appendBackoff
			continue
		}
		app.giveBack(batch)
		app.ctl.set.Meter.Event(meter.EventAppendRepeat)
		if !pause(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (app *appender) take(now clock.Milli) []appending {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	var batch, rest []appending
	for _, apg := range app.held {
		switch {
		case now >= apg.until || apg.drop != nil && apg.drop():
		case len(batch) < maxBatch:
			batch = append(batch, apg)
		default:
			rest = append(rest, apg)
		}
	}
	app.held = rest
	app.sending = len(batch) > 0
	return batch
}

// empty tells whether nothing waits or is under way.
func (app *appender) empty() bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	return len(app.held) == 0 && !app.sending
}

func (app *appender) giveBack(batch []appending) {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	app.held = append(batch, app.held...)
}

func (app *appender) send(ctx context.Context, batch []appending) bool {
	bodies := make([]json.RawMessage, len(batch))
	at := app.ctl.set.Clock.Now()
	for i, apg := range batch {
		bodies[i] = apg.body
		if apg.sent != nil {
			apg.sent(at)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err := app.ctl.set.Platform.Append(ctx, app.stream, bodies)
	if err != nil {
		app.ctl.set.Meter.Event(meter.EventLogError)
	}
	return err == nil
}

// pause waits, and gives false when the context ended.
func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
