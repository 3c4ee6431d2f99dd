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
	readWait    = clock.Second
	readTimeout = 4 * time.Second
	readBackoff = 150 * time.Millisecond
)

// Follower is a fold that is fed with a stream.
type Follower struct {
	Stream string
	// Do runs an event on the thread that owns the fold and waits for it; false
	// when the context ended.
	Do func(ctx context.Context, event func(now clock.Milli)) bool
	// Next gives the offset to read from.
	Next func() int64
	// Apply takes the next records.
	Apply func(recs []oplog.Record, now clock.Milli)
	// Restart tells that the log now starts at an offset beyond Next.
	Restart func(start int64)
	// Caught tells that the stream's end was read; asOf is an instant at which
	// nothing beyond was there.
	Caught func(asOf clock.Milli)
}

// waitFor gives how long a read may wait for records: not at all until the end
// was read once, for an instance is not ready before.
func waitFor(asOf clock.Milli) clock.Milli {
	if asOf == 0 {
		return 0
	}
	return readWait
}

// Tail reads a stream and feeds it to a follower until the context ends.
func Tail(ctx context.Context, set Setup, flw Follower) {
	var asOf clock.Milli
	for {
		var from int64
		if !flw.Do(ctx, func(clock.Milli) { from = flw.Next() }) {
			return
		}
		// The instant before the question: a pause between the log's answer
		// and its receipt must not make an old answer look fresh.
		asked := set.Clock.Now()
		rctx, cancel := context.WithTimeout(ctx, readTimeout)
		bat, err := set.Platform.Read(rctx, flw.Stream, from, waitFor(asOf))
		cancel()
		if err != nil && !readFailed(ctx, set, flw, err) {
			return
		}
		if err == nil {
			asOf = asked
		}
		if err == nil && !flw.Do(ctx, func(now clock.Milli) { give(set, flw, from, bat, asked, now) }) {
			return
		}
	}
}

// readFailed deals with a read that gave no records; false when the context
// ended.
func readFailed(ctx context.Context, set Setup, flw Follower, err error) bool {
	if start, ok := platf.IsTrimmed(err); ok {
		set.Meter.Event(meter.EventLogTrimmed)
		set.Log.Warn().Str("stream", flw.Stream).Int64("start", start).Msg("records were forgotten unread; starting over")
		return flw.Do(ctx, func(clock.Milli) { flw.Restart(start) })
	}
	if ctx.Err() != nil {
		return false
	}
	set.Meter.Event(meter.EventLogError)
	return Pause(ctx, readBackoff+time.Duration(rand.Int64N(int64(readBackoff))))
}

func give(set Setup, flw Follower, from int64, bat oplog.Batch, asked, now clock.Milli) {
	if bat.End < from {
		// A replica of the log that is behind. What is applied stays applied,
		// and the answer is no word that we are up to date.
		set.Meter.Event(meter.EventLogBack)
		return
	}
	flw.Apply(bat.Records, now)
	if flw.Next() >= bat.End {
		flw.Caught(asked)
	}
}
