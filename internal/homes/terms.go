package homes

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
)

const (
	// askedMost bounds the engines that are asked what they hold when this instance begins
	// to place a pool's prompts, askedAtOnce those at the same time, and askedWait each answer.
	// An answer is some kilobytes, and holds the engine up for less than a step.
	askedMost   = 64
	askedAtOnce = 16
	askedWait   = 300 * time.Millisecond
)

// terms tells since when this instance places pools' prompts, or keeps their endpoints' rates. The
// zero value is none.
type terms struct {
	mtx   sync.Mutex
	began map[string]clock.Milli
	// fresh are those whose beginning was told to nobody.
	fresh map[string]bool
}

// is notes whether a pool falls to this instance now.
func (trm *terms) is(pool string, mine bool, now clock.Milli) {
	trm.mtx.Lock()
	defer trm.mtx.Unlock()
	if trm.began == nil {
		trm.began, trm.fresh = map[string]clock.Milli{}, map[string]bool{}
	}
	_, was := trm.began[pool]
	switch {
	case mine && !was:
		trm.began[pool], trm.fresh[pool] = now, true
	case !mine && was:
		delete(trm.began, pool)
	}
}

// begins tells, once for each time, that a pool began to fall to this instance.
func (trm *terms) begins(pool string) bool {
	trm.mtx.Lock()
	defer trm.mtx.Unlock()
	fresh := trm.fresh[pool]
	delete(trm.fresh, pool)
	return fresh
}

// since gives when a pool began to fall to this instance.
func (trm *terms) since(pool string) clock.Milli {
	trm.mtx.Lock()
	defer trm.mtx.Unlock()
	return trm.began[pool]
}

// learn asks a pool's engines what they hold of prompts.
//
// Whoever placed before knew it, and has stopped or died. Placed anew by rendezvous, prompts
// go to other engines than those that had read them: after a loss of all, or in a rolling stop with
// its seven successions, more tokens were read again than in all the rest of the time.
func (hms *Homes) learn(vw *state.View, pool string) {
	if hms.set.Held == nil {
		return
	}
	began := hms.set.Clock.Now()
	places := make(chan struct{}, askedAtOnce)
	var grp sync.WaitGroup
	var mtx sync.Mutex
	asked, failed, parts := 0, 0, 0
	for _, ep := range vw.Endpoints() {
		if _, rated := vw.Rate(ep.ID); rated || ep.Pool != pool || ep.Leaving || asked >= askedMost {
			continue
		}
		asked++
		grp.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			count, err := hms.learnFrom(ep)
			mtx.Lock()
			defer mtx.Unlock()
			parts += count
			if err != nil {
				failed++
			}
		})
	}
	grp.Wait()
	hms.set.Log.Info().Str("pool", pool).Int("engines", asked).Int("failed", failed).Int("parts", parts).
		Int64("took_ms", int64(hms.set.Clock.Since(began))).Msg("placing begins")
}

func (hms *Homes) learnFrom(ep talk.Endpoint) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askedWait)
	defer cancel()
	parts, err := hms.set.Held(ctx, ep)
	if err != nil {
		return 0, err
	}
	hms.set.Pools.Holds(ep.Pool, ep.ID, parts)
	return len(parts), nil
}
