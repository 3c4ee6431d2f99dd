package state

import (
	"context"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
)

const (
	// maxSendListAge is the age of the list of endpoints up to which requests are sent by it at once, also after a pause
	// of the process. It leaves a twentieth of the time in which a leaving endpoint may still get requests for their
	// way there.
	maxSendListAge = 1900 * clock.Milli(1)
	// minPause is how long the control loop stands still in a pause of the process: it steps every stepInterval.
	minPause = clock.Second
	// minStall is how late a step of the control loop is after a stall, which is shorter than a pause. A planned shutdown
	// keeps as much in reserve.
	minStall = 300 * clock.Milli(1)
	// justEnded is how long after a stall what came meanwhile is handled: two steps of the control loop.
	justEnded = 2 * clock.Milli(stepInterval/time.Millisecond)
	// maxListWait is how long requests wait for a newer list after a pause. The list has been read by then, unless the
	// store can't be read.
	maxListWait = 500 * clock.Milli(1)
)

// recordStep records that the control loop runs, and whether it goes on after a pause of the process.
func (ctl *Control) recordStep(now clock.Milli) {
	before := clock.Milli(ctl.steppedAt.Swap(int64(now)))
	if before > 0 && now-before >= minStall {
		ctl.stalledAt.Store(int64(before))
		ctl.stallEndedAt.Store(int64(now))
	}
	if before == 0 || now-before < minPause {
		return
	}
	ctl.resumedAt.Store(int64(now))
	ctl.set.Meter.CountEvent(meter.EventPaused)
	ctl.set.Log.Info().Int64("paused_ms", int64(now-before)).Str("list_from", ctl.endpts.listed.from).Int64("list_age_ms", int64(now-ctl.endpts.listed.asOf)).Msg("the process was paused")
}

// StalledSince returns since when the process stood still until just now, or since when its control loop did for want of
// processor time; false if neither did. What came meanwhile, such as a signal, may have come at any time since.
func (ctl *Control) StalledSince(now clock.Milli) (since clock.Milli, was bool) {
	stepped, ended := clock.Milli(ctl.steppedAt.Load()), clock.Milli(ctl.stallEndedAt.Load())
	switch {
	case stepped > 0 && now-stepped >= minStall:
		return stepped, true
	case ended > 0 && now-ended < justEnded:
		return clock.Milli(ctl.stalledAt.Load()), true
	}
	return 0, false
}

// listWait returns how long a request that arrives now waits for a newer list of endpoints, zero unless the process has
// just been paused: the list from before an outage of the store is used as it is.
func (ctl *Control) listWait(now clock.Milli) clock.Milli {
	if vw := ctl.View(); vw.listed.from == "" || vw.HasRecentList(now) {
		return 0
	}
	stepped, resumed := clock.Milli(ctl.steppedAt.Load()), clock.Milli(ctl.resumedAt.Load())
	if now-stepped >= minPause {
		return maxListWait
	}
	return max(resumed+maxListWait-now, 0)
}

// HasRecentList reports whether the list of endpoints is recent enough for requests to be sent by it whatever has happened
// since.
func (vw *View) HasRecentList(now clock.Milli) bool { return vw.ListAge(now) <= maxSendListAge }

// AwaitList waits for a list of endpoints by which requests may be sent. It returns at once unless the process has just
// been paused, and soon if the store can't be read.
func (ctl *Control) AwaitList(ctx context.Context) {
	until := never
	for ctx.Err() == nil {
		confirmed, now := *ctl.listConfirmed.Load(), ctl.set.Clock.Now()
		until = min(until, now+ctl.listWait(now))
		if now >= until {
			return
		}
		tmr := time.NewTimer((until - now).Duration())
		select {
		case <-confirmed:
		case <-tmr.C:
		case <-ctx.Done():
		}
		tmr.Stop()
	}
}
