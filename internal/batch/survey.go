package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
)

// Whoever begins to gather a pool doesn't know the results that its endpoints hold for the
// one before, who has stopped or lost power. They take room until they are given back or
// lapse. Calls made for that room come back with half of their pieces refused, and requests
// are given up in the middle of their way. So the endpoints are asked how much is free, until
// what they hold is known.

const (
	// surveyEvery is the time between two rounds of questions.
	surveyEvery = 400 * clock.Milli(1)
	// surveyAtOnce bounds the questions at the same time, surveyWait each answer.
	surveyAtOnce = 16
	surveyWait   = 300 * time.Millisecond
	// begunAfter is after how long without an order an instance begins anew to gather.
	begunAfter = 2 * clock.Second
)

// begins notes an order, and tells whether this instance begins to gather the pool with it.
func (pol *pool) begins(now clock.Milli) bool {
	begins := pol.ordered == 0 || now-pol.ordered > begunAfter
	pol.ordered = max(now, 1)
	return begins && pol.room > 0 && pol.set.Dialect.Room != nil
}

// survey asks the pool's endpoints for their room, again and again until nothing is held
// there that isn't known here, or all of it has lapsed.
func (pol *pool) survey(began clock.Milli) {
	others, failed := pol.surveyOnce()
	took := pol.set.Clock.Since(began)
	pol.set.Log.Info().Str("pool", pol.name).Int64("held_by_others", others).Int("failed", failed).Int64("since_ms", int64(took)).Msg("room asked for")
	if others > 0 && took < pol.keeps() {
		pol.set.After(surveyEvery, func() { go pol.survey(began) })
	}
}

// keeps gives how long a result is held that nobody gives back.
func (pol *pool) keeps() clock.Milli {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.keep
}

// surveyOnce asks each endpoint once, and gives the bytes held for others and how many gave
// no answer.
func (pol *pool) surveyOnce() (others int64, failed int) {
	pol.mtx.Lock()
	list := pol.makers
	pol.mtx.Unlock()
	places := make(chan struct{}, surveyAtOnce)
	var grp sync.WaitGroup
	var held, silent atomic.Int64
	for _, mkr := range list {
		if pol.isRated(mkr.ID) {
			continue
		}
		grp.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			bytes, err := pol.askRoom(mkr)
			held.Add(bytes)
			if err != nil {
				silent.Add(1)
			}
		})
	}
	grp.Wait()
	return held.Load(), int(silent.Load())
}

// isRated tells whether an endpoint names a rate: then it is asked nothing that can be done without.
func (pol *pool) isRated(id string) bool {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.rates.Has(id)
}

// askRoom asks one endpoint, and gives the bytes that it holds for others.
func (pol *pool) askRoom(mkr gather.Maker) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), surveyWait)
	defer cancel()
	free, err := pol.set.Dialect.Room(ctx, pol.set.Client, talk.Endpoint{ID: ident.Process(mkr.ID), Pool: pol.name, Addr: mkr.Addr, Zone: mkr.Zone})
	if err != nil {
		return 0, err
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	defer pol.run()
	return pol.book.Told(mkr.ID, free, pol.set.Clock.Now()), nil
}
