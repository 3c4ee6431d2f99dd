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

const (
	appendTimeout    = 3 * time.Second
	minAppendBackoff = 100 * time.Millisecond
	maxAppendBackoff = 2 * time.Second
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 256
	// maxPending is the maximum number of records that are queued in an outage.
	maxPending = 16384
)

// Setup has the dependencies of readers and appenders.
type Setup struct {
	Clock    clock.Clock
	Platform *platf.Client
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Appender appends records to one stream. It has one append in flight at a time,
// with up to maxBatchRecords queued records. Records are batched because the log
// accepts only several hundred appends per second from all its clients together.
//
// An append whose answer is lost is repeated with the same records. This is safe
// because each state machine ignores duplicate records. Without the repetition a
// release or a settlement could be missing, and its key would stay claimed for ever.
type Appender struct {
	set    Setup
	stream string
	wake   chan struct{}

	mtx     sync.Mutex
	pending []Record
	sending bool
}

// Record is a record to be appended to the log.
type Record struct {
	Body json.RawMessage
	// Expires is the instant at which the record expires and is dropped.
	Expires clock.Milli
	// Cancelled reports whether the record must no longer be appended. It is called on
	// the appender's goroutine and may be nil.
	Cancelled func() bool
}

// NewAppender returns an appender to a stream. Its records are appended by [Appender.Run].
func NewAppender(set Setup, stream string) *Appender {
	return &Appender{set: set, stream: stream, wake: make(chan struct{}, 1)}
}

// Add queues a record. It returns false if the queue is full.
func (app *Appender) Add(rec Record) bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	if len(app.pending) >= maxPending {
		return false
	}
	app.pending = append(app.pending, rec)
	select {
	case app.wake <- struct{}{}:
	default:
	}
	return true
}

// Run appends queued records until the context ends.
func (app *Appender) Run(ctx context.Context) {
	backoff := minAppendBackoff
	for {
		batch := app.nextBatch(app.set.Clock.Now())
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-app.wake:
			}
			continue
		}
		if app.send(ctx, batch) {
			backoff = minAppendBackoff
			continue
		}
		app.requeue(batch)
		app.set.Meter.CountEvent(meter.EventAppendRepeat)
		if !Sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

func (app *Appender) nextBatch(now clock.Milli) []Record {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	var batch, rest []Record
	for _, rec := range app.pending {
		switch {
		case now >= rec.Expires || rec.Cancelled != nil && rec.Cancelled():
			app.set.Meter.CountEvent(meter.EventAppendDrop)
		case len(batch) < maxBatchRecords:
			batch = append(batch, rec)
		default:
			rest = append(rest, rec)
		}
	}
	app.pending = rest
	app.sending = len(batch) > 0
	return batch
}

// Empty reports whether no record is queued or being appended.
func (app *Appender) Empty() bool {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	return len(app.pending) == 0 && !app.sending
}

func (app *Appender) requeue(batch []Record) {
	app.mtx.Lock()
	defer app.mtx.Unlock()
	app.pending = append(batch, app.pending...)
}

func (app *Appender) send(ctx context.Context, batch []Record) bool {
	bodies := make([]json.RawMessage, len(batch))
	for i, rec := range batch {
		bodies[i] = rec.Body
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := app.set.Platform.Append(ctx, app.stream, bodies)
	if err != nil {
		app.set.Meter.CountEvent(meter.EventLogError)
	}
	return err == nil
}

// Sleep sleeps for the span. It returns false if the context ends before.
func Sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
