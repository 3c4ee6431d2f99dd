package feed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/platf"
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

// Setup is what reading and appending need.
type Setup struct {
	Clock    clock.Clock
	Platform *platf.Client
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Appender brings records into one stream: one append at a time, which takes
// all that waits. The log takes several hundred appends a second for everybody,
// so that records are grouped, not appends made more.
//
// An append whose answer is lost is made again with the same records. Each fold
// counts a repeated record once, so that this is safe; giving up instead would
// leave a release or a settlement out, and the key held for good.
type Appender struct {
	set    Setup
	stream string
	wake   chan struct{}

	mtx     sync.Mutex
	held    []Record
	sending bool
}

// Record is a record on its way into the log.
type Record struct {
	Body json.RawMessage
	// Until is the instant after which the record is not worth appending.
	Until clock.Milli
	// Drop tells that the record must not be appended any more; it is asked by
	// the appender's goroutine and may be nil.
	Drop func() bool
}

// NewAppender returns the appender of a stream; Run makes it work.
func NewAppender(set Setup, stream string) *Appender {
	return &Appender{set: set, stream: stream, wake: make(chan struct{}, 1)}
}

// Add queues a record and gives false when too many wait.
func (app *Appender) Add(rec Record) bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	if len(app.held) >= maxHeld {
		return false
	}
	app.held = append(app.held, rec)
	select {
	case app.wake <- struct{}{}:
	default:
	}
	return true
}

// Run appends what is added until the context ends.
func (app *Appender) Run(ctx context.Context) {
	backoff := appendBackoff
	for {
		batch := app.take(app.set.Clock.Now())
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
		app.set.Meter.Event(meter.EventAppendRepeat)
		if !Pause(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (app *Appender) take(now clock.Milli) []Record {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	var batch, rest []Record
	for _, rec := range app.held {
		switch {
		case now >= rec.Until || rec.Drop != nil && rec.Drop():
			app.set.Meter.Event(meter.EventAppendDrop)
		case len(batch) < maxBatch:
			batch = append(batch, rec)
		default:
			rest = append(rest, rec)
		}
	}
	app.held = rest
	app.sending = len(batch) > 0
	return batch
}

// Empty tells whether nothing waits or is under way.
func (app *Appender) Empty() bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	return len(app.held) == 0 && !app.sending
}

func (app *Appender) giveBack(batch []Record) {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	app.held = append(batch, app.held...)
}

func (app *Appender) send(ctx context.Context, batch []Record) bool {
	bodies := make([]json.RawMessage, len(batch))
	for i, rec := range batch {
		bodies[i] = rec.Body
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err := app.set.Platform.Append(ctx, app.stream, bodies)
	if err != nil {
		app.set.Meter.Event(meter.EventLogError)
	}
	return err == nil
}

// Pause waits, and gives false when the context ended.
func Pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
