package coord

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
)

const (
	// maxCacheQueries bounds the engines that are queried when this instance becomes the
	// coordinator of a pool, cacheQueryParallel the concurrent queries, and cacheQueryTimeout each
	// answer. An answer is a few kilobytes and delays the engine by less than a step.
	maxCacheQueries    = 64
	cacheQueryParallel = 16
	cacheQueryTimeout  = 300 * time.Millisecond
)

// tenures records which pools this instance coordinates. The zero value is empty.
type tenures struct {
	mtx  sync.Mutex
	mine map[string]bool
	// unseen has the pools whose start takeNew has not reported yet.
	unseen map[string]bool
}

// update records whether this instance coordinates a pool now.
func (ten *tenures) update(pool string, mine bool) {
	ten.mtx.Lock()
	defer ten.mtx.Unlock()
	if ten.mine == nil {
		ten.mine, ten.unseen = map[string]bool{}, map[string]bool{}
	}
	if mine && !ten.mine[pool] {
		ten.unseen[pool] = true
	}
	ten.mine[pool] = mine
}

// takeNew reports, once for each time, that this instance has become the coordinator of a pool.
func (ten *tenures) takeNew(pool string) bool {
	ten.mtx.Lock()
	defer ten.mtx.Unlock()
	fresh := ten.unseen[pool]
	delete(ten.unseen, pool)
	return fresh
}

// queryCaches queries the prompt caches of a pool's engines.
//
// The previous coordinator knew their contents and has stopped or died. Placed by rendezvous
// hashing alone, prompts go to other engines than those that have cached them: after a loss of all
// instances, or in a rolling restart with seven changes of the coordinator, more tokens were
// prefilled again than in all the rest of the time.
//
// Endpoints with a rate are left out, also cold ones: a query counts towards the rate, and an engine
// that has just started has nothing cached.
func (crd *Coordinator) queryCaches(vw *state.View, pool string) {
	if crd.set.CachedParts == nil {
		return
	}
	began := crd.set.Clock.Now()
	slots := make(chan struct{}, cacheQueryParallel)
	var grp sync.WaitGroup
	var mtx sync.Mutex
	queried, failed, parts := 0, 0, 0
	for _, ep := range vw.Endpoints() {
		if _, rated := vw.Rate(ep.ID); rated || ep.Pool != pool || ep.Leaving || ep.Withheld || crd.set.Control.Resting(ep.ID) || queried >= maxCacheQueries {
			continue
		}
		queried++
		grp.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			count, err := crd.queryCache(ep)
			mtx.Lock()
			defer mtx.Unlock()
			parts += count
			if err != nil {
				failed++
			}
		})
	}
	grp.Wait()
	crd.set.Log.Info().Str("pool", pool).Int("engines", queried).Int("failed", failed).Int("parts", parts).
		Int64("took_ms", int64(crd.set.Clock.Since(began))).Msg("became coordinator, queried prompt caches of engines")
}

func (crd *Coordinator) queryCache(ep proto.Endpoint) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheQueryTimeout)
	defer cancel()
	if !crd.set.Control.MaySend(ep.ID, ep.Zone) {
		return 0, proto.ErrWithheld
	}
	parts, err := crd.set.CachedParts(ctx, ep)
	if err != nil {
		if bounds.Exceeded(err) {
			crd.set.Pools.QueryFailed(ep.Pool, ep.ID)
			if crd.set.OnUnbounded != nil {
				crd.set.OnUnbounded()
			}
			crd.set.Log.Warn().Err(err).Str("pool", ep.Pool).Str("endpoint", string(ep.ID)).Msg("answer of endpoint exceeds a bound")
		}
		return 0, err
	}
	crd.set.Pools.SetCached(ep.Pool, ep.ID, parts)
	return len(parts), nil
}
