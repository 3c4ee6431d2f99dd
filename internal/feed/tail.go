package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/platf"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/oplog"
)

const (
	maxPollWait = clock.Second
	readTimeout = 4 * time.Second
	readBackoff = 150 * time.Millisecond
)

// Consumer is a state machine that consumes a stream.
type Consumer struct {
	Stream string
	// Do runs an event on the control loop that owns the state machine and waits until
	// it has run. It returns false if the context ends before.
	Do func(ctx context.Context, event func(now clock.Milli)) bool
	// Next returns the offset of the next record to read.
	Next func() int64
	// Apply applies the next records.
	Apply func(recs []oplog.Record, now clock.Milli)
	// Restart makes the state machine continue at start, the log's first offset, after
	// the records from Next on were trimmed.
	Restart func(start int64)
	// CaughtUp is called when the state machine has caught up: it has applied all records
	// that the stream had at asOf.
	CaughtUp func(asOf clock.Milli)
}

// pollWait returns how long a read may wait for records. It is zero until a read
// has succeeded, because the instance is not ready before.
func pollWait(asOf clock.Milli) clock.Milli {
	if asOf == 0 {
		return 0
	}
	return maxPollWait
}

// Tail reads a stream and passes its records to a state machine until the context
// ends.
func Tail(ctx context.Context, set Setup, csm Consumer) {
	var asOf clock.Milli
	for {
		var from int64
		if !csm.Do(ctx, func(clock.Milli) { from = csm.Next() }) {
			return
		}
		// The time is taken before the read is sent, so that a delay between the
		// log's answer and its receipt does not make a stale answer look fresh.
		sentAt := set.Clock.Now()
		rctx, cancel := context.WithTimeout(ctx, readTimeout)
		bat, err := set.Platform.Read(rctx, csm.Stream, from, pollWait(asOf))
		cancel()
		if err != nil && !handleReadError(ctx, set, csm, err) {
			return
		}
		if err == nil {
			asOf = sentAt
		}
		if err == nil && !csm.Do(ctx, func(now clock.Milli) { deliver(set, csm, from, bat, sentAt, now) }) {
			return
		}
	}
}

// handleReadError handles a failed read. If the log was trimmed, it restarts the state
// machine; otherwise it pauses. It returns false if the context ended.
func handleReadError(ctx context.Context, set Setup, csm Consumer, err error) bool {
	if start, ok := platf.IsTrimmed(err); ok {
		set.Meter.CountEvent(meter.EventLogTrimmed)
		set.Log.Warn().Str("stream", csm.Stream).Int64("start", start).Msg("log was trimmed beyond the read offset; continuing at its first offset")
		return csm.Do(ctx, func(clock.Milli) { csm.Restart(start) })
	}
	if ctx.Err() != nil {
		return false
	}
	set.Meter.CountEvent(meter.EventLogError)
	return Sleep(ctx, readBackoff+time.Duration(rand.Int64N(int64(readBackoff))))
}

func deliver(set Setup, csm Consumer, from int64, bat oplog.Batch, sentAt, now clock.Milli) {
	if bat.End < from {
		// The answer comes from a lagging replica of the log. Applied records stay
		// applied, and the answer does not show that there are no newer ones.
		set.Meter.CountEvent(meter.EventLogStale)
		return
	}
	csm.Apply(bat.Records, now)
	if csm.Next() >= bat.End {
		csm.CaughtUp(sentAt)
	}
}
