package state

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
)

const (
	// maxSendListAge is the age of the list of endpoints up to which requests are sent by it at once. It leaves a
	// twentieth of the time in which a leaving endpoint may still get requests for their way there.
	maxSendListAge = 1900 * clock.Milli(1)
	// maxListWait is how long requests wait for a newer list, from the moment at which the first of them finds it too
	// old: an instance that was suspended has read it by then, and one that can't read the store goes on with the list
	// that it has.
	maxListWait = 500 * clock.Milli(1)
	// listWaitGap is the time after such a wait in which requests don't wait again: the lists of a slow store are old
	// when they come.
	listWaitGap = 10 * clock.Second
)

// listWait is the time up to which requests wait for a list that is newer than an old one. The zero value is that of no
// list.
type listWait struct {
	mtx   sync.Mutex
	asOf  clock.Milli
	until clock.Milli
}

// left returns how long a request waits that finds an old list, and whether it is the first one.
func (lwt *listWait) left(asOf, now clock.Milli) (span clock.Milli, isFirst bool) {
	lwt.mtx.Lock()
	defer lwt.mtx.Unlock()
	if isFirst = asOf != lwt.asOf && (lwt.asOf == 0 || now >= lwt.until+listWaitGap); isFirst {
		lwt.asOf, lwt.until = asOf, now+maxListWait
	}
	return lwt.until - now, isFirst
}

// AwaitList waits for a list of endpoints by which requests may be sent. It returns at once if the present one is
// recent, and soon if the store can't be read.
func (ctl *Control) AwaitList(ctx context.Context) {
	for ctx.Err() == nil {
		confirmed := *ctl.listConfirmed.Load()
		now, listed := ctl.set.Clock.Now(), ctl.View().listed
		age := now - listed.asOf
		if listed.from == "" || age <= maxSendListAge {
			return
		}
		span, isFirst := ctl.listWait.left(listed.asOf, now)
		if isFirst {
			ctl.set.Meter.CountEvent(meter.EventListAwaited)
			ctl.set.Log.Info().Str("from", listed.from).Int64("list_age_ms", int64(age)).Msg("requests wait for a newer list of endpoints")
		}
		if span <= 0 {
			return
		}
		tmr := time.NewTimer(span.Duration())
		select {
		case <-confirmed:
		case <-tmr.C:
		case <-ctx.Done():
		}
		tmr.Stop()
	}
}
