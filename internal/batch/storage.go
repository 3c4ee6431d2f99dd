package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
)

// A new coordinator of a pool doesn't know the results that its endpoints hold for the previous
// one, which has stopped or lost power. They take storage until they are released or expire. If
// this were ignored, calls would come back with half of their items refused, and requests would be
// abandoned half way. The coordinator therefore polls the endpoints for their free result storage
// until all that they hold is known.

const (
	// storagePollInterval is the time between two rounds of polling.
	storagePollInterval = 400 * clock.Milli(1)
	// storagePollParallel bounds the concurrent queries, storagePollTimeout each answer.
	storagePollParallel = 16
	storagePollTimeout  = 300 * time.Millisecond
	// takeoverIdle is the time without orders after which the next order counts as a takeover of
	// the pool.
	takeoverIdle = 2 * clock.Second
)

// takesOver records an order and reports whether this instance becomes the pool's coordinator with
// it and has to poll the endpoints.
func (pol *pool) takesOver(now clock.Milli) bool {
	takeover := pol.lastOrder == 0 || now-pol.lastOrder > takeoverIdle
	pol.lastOrder = max(now, 1)
	return takeover && pol.resultStorage > 0 && pol.set.Dialect.FreeStorage != nil
}

// pollStorage polls the pool's endpoints for their free result storage until they hold no results
// unknown to this instance, or all of those have expired.
func (pol *pool) pollStorage(began clock.Milli) {
	others, failed := pol.pollStorageOnce()
	took := pol.set.Clock.Since(began)
	pol.set.Log.Info().Str("pool", pol.name).Int64("held_by_others", others).Int("failed", failed).Int64("since_ms", int64(took)).Msg("polled endpoints for free result storage")
	if others > 0 && took < pol.resultLifetime() {
		pol.set.After(storagePollInterval, func() { go pol.pollStorage(began) })
	}
}

// resultLifetime returns how long an endpoint holds a result that is not released.
func (pol *pool) resultLifetime() clock.Milli {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.resultTTL
}

// pollStorageOnce queries each endpoint once and returns the bytes held for other coordinators and
// the number of endpoints that did not answer.
func (pol *pool) pollStorageOnce() (others int64, failed int) {
	pol.mtx.Lock()
	list := pol.endpoints
	rests := pol.rests()
	pol.mtx.Unlock()
	slots := make(chan struct{}, storagePollParallel)
	var grp sync.WaitGroup
	var held, failures atomic.Int64
	for _, ep := range list {
		if _, resting := rests[ident.Process(ep.ID)]; resting || ep.Leaving || ep.Withheld || pol.hasDeclaredRate(ep.ID) {
			continue
		}
		grp.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if !pol.set.MaySend(ident.Process(ep.ID), ep.Zone) {
				return
			}
			bytes, err := pol.queryFreeStorage(ep)
			held.Add(bytes)
			if err != nil {
				failures.Add(1)
			}
		})
	}
	grp.Wait()
	return held.Load(), int(failures.Load())
}

// hasDeclaredRate reports whether an endpoint declares a rate. Such endpoints are not polled,
// because queries count towards the rate.
func (pol *pool) hasDeclaredRate(id string) bool {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.rates.Has(id)
}

// queryFreeStorage queries one endpoint and returns the bytes that it holds for other coordinators.
func (pol *pool) queryFreeStorage(ep gather.Endpoint) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storagePollTimeout)
	defer cancel()
	free, err := pol.set.Dialect.FreeStorage(ctx, pol.set.Client, proto.Endpoint{ID: ident.Process(ep.ID), Pool: pol.name, Addr: ep.Addr, Zone: ep.Zone})
	if err != nil {
		if bounds.Exceeded(err) {
			pol.set.Log.Warn().Err(err).Str("pool", pol.name).Str("endpoint", ep.ID).Msg("answer of endpoint exceeds a bound")
		}
		pol.failIfUnbounded(err, func(oth gather.Endpoint) bool { return oth.ID == ep.ID })
		return 0, err
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	defer pol.dispatch()
	return pol.sched.ReportFree(ep.ID, free, pol.set.Clock.Now()), nil
}
