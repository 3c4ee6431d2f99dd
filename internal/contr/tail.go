package contr

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

// follower is a fold that a tail feeds, on the control thread.
type follower struct {
	stream  string
	next    func() int64
	apply   func(recs []oplog.Record, now clock.Milli)
	restart func(start int64)
	// caught tells that the stream's end was read; asOf is an instant at which
	// nothing beyond was there.
	caught func(asOf clock.Milli)
}

// waitFor gives how long a read may wait for records: not at all until the end
// was read once, for an instance is not ready before.
func waitFor(asOf clock.Milli) clock.Milli {
	if asOf == 0 {
		return 0
	}
	return readWait
}

// tail reads a stream and feeds it to a follower until the context ends.
func (ctl *Control) tail(ctx context.Context, flw follower) {
	var asOf clock.Milli
	for {
		var from int64
		if !ctl.Do(ctx, func(clock.Milli) { from = flw.next() }) {
			return
		}
		// The instant before the question: a pause between the log's answer
		// and its receipt must not make an old answer look fresh.
		asked := ctl.set.Clock.Now()
		rctx, cancel := context.WithTimeout(ctx, readTimeout)
		bat, err := ctl.set.Platform.Read(rctx, flw.stream, from, waitFor(asOf))
		cancel()
		if err != nil && !ctl.readFailed(ctx, flw, err) {
			return
		}
		if err == nil {
			asOf = asked
		}
		if err == nil && !ctl.Do(ctx, func(now clock.Milli) { ctl.feed(flw, from, bat, asked, now) }) {
			return
		}
	}
}

// readFailed deals with a read that gave no records; false when the context
// ended.
func (ctl *Control) readFailed(ctx context.Context, flw follower, err error) bool {
	if start, ok := platf.IsTrimmed(err); ok {
		ctl.set.Meter.Event(meter.EventLogTrimmed)
		ctl.set.Log.Warn().Str("stream", flw.stream).Int64("start", start).Msg("records were forgotten unread; starting over")
		return ctl.Do(ctx, func(clock.Milli) { flw.restart(start) })
	}
	if ctx.Err() != nil {
		return false
	}
	ctl.set.Meter.Event(meter.EventLogError)
	return pause(ctx, readBackoff+time.Duration(rand.Int64N(int64(readBackoff))))
}

func (ctl *Control) feed(flw follower, from int64, bat oplog.Batch, asked, now clock.Milli) {
	if bat.End < from {
		// A replica of the log that is behind. What is applied stays applied,
		// and the answer is no word that we are up to date.
		ctl.set.Meter.Event(meter.EventLogBack)
		return
	}
	flw.apply(bat.Records, now)
	if flw.next() >= bat.End {
		flw.caught(asked)
	}
}
