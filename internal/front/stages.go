package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// nearFrom is how many bytes a piece must spare between data centres to be
	// made in a certain one; below it, which endpoint is free first matters more.
	nearFrom = 128 << 10
	// crowdedShare of the time of a full call is the wait at a pool from which on
	// it is crowded: nothing waits for a near endpoint, and newcomers that will be
	// late are refused. Measured with calls of 0.37 s: 60 ms and 200 ms did alike.
	crowdedShare = 0.5
	// slowStage times its planned time makes a stage's line worth writing.
	slowStage = 2
	// soonest and latest bound when a refused caller should come back.
	soonest = 100 * clock.Milli(1)
	latest  = 2 * clock.Second
	// allStages stands for all of a request's results.
	allStages = -1
)

// count gives the number of pieces that a request has of a stage.
func (cl *call) count(stage int) int {
	if stage >= len(cl.ask.Pieces) {
		return 0
	}
	return cl.ask.Pieces[stage]
}

// want gives what the final call is placed by.
func (cl *call) want(avoid []string) pools.Want {
	wnt := pools.Want{Salt: cl.ask.ID, Aimed: cl.engine.ID, Avoid: avoid}
	if cl.ask.Prompt != nil {
		wnt.Prompt = *cl.ask.Prompt
	}
	return wnt
}

// batchOf gives how a stage's pool takes pieces.
func (cl *call) batchOf(stage int) *plan.DraftBatch {
	pol, ok := cl.view.Plan().Pool(cl.route.Stages()[stage].Pool)
	if !ok {
		return nil
	}
	return pol.Batch()
}

// work gives the planned time of a stage's pieces in one call of their own.
func (cl *call) work(stage int) clock.Milli {
	spc := cl.batchOf(stage)
	n := cl.count(stage)
	if spc == nil || n == 0 {
		return 0
	}
	calls := (n + spc.Most - 1) / spc.Most
	return clock.Milli(spc.Call + spc.Item*float64(min(n, spc.Most)) + spc.Call*float64(calls-1))
}

// waveWork gives the planned time of a wave, whose stages run side by side.
func (cl *call) waveWork(wave []int) clock.Milli {
	longest := clock.Milli(0)
	for _, stg := range wave {
		longest = max(longest, cl.work(stg))
	}
	return longest
}

// admit chooses the final pool, and refuses at once what can't be answered before
// its caller leaves. What will merely be late is let in: the gatherers put it
// behind what can still be in time.
func (fr *Front) admit(ctx context.Context, cl *call, nxt next) outcm.Result {
	name := cl.route.Target(rand.Float64())
	pol, ok := cl.view.Plan().Pool(name)
	if !ok || !fr.pools.Usable(name) {
		return outcm.Refuse(outcm.NoEndpoint, spread(staleRetry), "no endpoint is known that could run it")
	}
	cl.pool = pol
	if len(cl.ask.Pieces) > len(cl.route.Stages()) || slices.Max(append(slices.Clone(cl.ask.Pieces), 0)) > homes.MaxPieces {
		return outcm.New(outcm.NotRun, outcm.BadRequest, "more pieces than the route has stages for, or too many")
	}
	need := fr.need(cl)
	if left := cl.until - fr.set.Clock.Now(); need > left {
		return outcm.Refuse(outcm.Hopeless, fr.comeBack(need-left), fmt.Sprintf("%d ms are needed and %d left", need, left))
	}
	if left := cl.due - fr.set.Clock.Now(); need > left && cl.spent == 0 && fr.crowded(cl) {
		return outcm.Refuse(outcm.Crowded, fr.comeBack(need-left), fmt.Sprintf("%d ms are needed and %d left to be in time", need, left))
	}
	return nxt(ctx, cl)
}

// need estimates the time of a request from now to its first byte.
func (fr *Front) need(cl *call) clock.Milli {
	if len(cl.route.Stages()) == 0 {
		return 0
	}
	need := fr.pools.First(cl.route.Name())
	for _, wave := range cl.route.Waves() {
		longest := clock.Milli(0)
		for _, stg := range wave {
			if cl.count(stg) > 0 {
				longest = max(longest, fr.homes.Wait(cl.route.Stages()[stg].Pool)+cl.work(stg))
			}
		}
		need += longest
	}
	return need
}

// comeBack gives a span to come back after, spread so that those refused together
// don't return together.
func (fr *Front) comeBack(span clock.Milli) clock.Milli {
	return spread(min(max(span, soonest), latest))
}

func spread(span clock.Milli) clock.Milli {
	return retry.After(2*span, 0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// stages has the pieces made that the final call takes.
func (fr *Front) stages(ctx context.Context, cl *call, nxt next) outcm.Result {
	if len(cl.route.Stages()) == 0 || len(cl.ask.Pieces) == 0 {
		return nxt(ctx, cl)
	}
	if eng, ok := fr.pools.Aim(cl.pool.Name(), cl.want(nil)); ok {
		cl.engine = eng
	}
	began := fr.set.Clock.Now()
	waves := cl.route.Waves()
	for i, wave := range waves {
		after := fr.pools.First(cl.route.Name())
		for _, later := range waves[i+1:] {
			after += cl.waveWork(later)
		}
		if res := fr.wave(ctx, cl, wave, after, len(waves)-i); res.Outcome() != outcm.Pending {
			return res
		}
		fr.giveBackUsed(cl, waves[i+1:])
	}
	cl.staged = fr.set.Clock.Since(began)
	cl.inputs = cl.handles(cl.route.Leaves())
	return nxt(ctx, cl)
}

// wave runs stages side by side; after is the time that what follows takes, and
// left the number of waves from this one on, which share what time is to spare.
func (fr *Front) wave(ctx context.Context, cl *call, wave []int, after clock.Milli, left int) outcm.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wgr sync.WaitGroup
	outs := make([]stageOut, len(wave))
	for i, stg := range wave {
		if cl.count(stg) == 0 {
			continue
		}
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			outs[i] = fr.stage(ctx, cl, stg, after, left)
			if outs[i].flaw != talk.NoFlaw {
				// Its sisters are of no use without it.
				cancel()
			}
		}()
	}
	wgr.Wait()
	var flawed *stageOut
	for i := range outs {
		if len(outs[i].made.list) > 0 {
			cl.made = append(cl.made, outs[i].made)
		}
		if outs[i].flaw != talk.NoFlaw && (flawed == nil || flawed.cancelled) {
			flawed = &outs[i]
		}
	}
	if flawed == nil {
		return outcm.Result{}
	}
	return fr.refuseStage(cl, flawed)
}

// stageOut is what became of a stage.
type stageOut struct {
	made      made
	stage     int
	flaw      talk.Flaw
	cancelled bool
}

func (fr *Front) stage(ctx context.Context, cl *call, stg int, after clock.Milli, left int) stageOut {
	raw := cl.route.Stages()[stg]
	ord := batch.Order{
		Pool: raw.Pool, Request: cl.ask.ID, Stage: stg, Count: cl.count(stg), Bytes: raw.Bytes, Rank: cl.rank,
	}
	if len(raw.After) == 0 {
		ord.Key = cl.ask.PieceKey
	} else {
		ord.Inputs = cl.handles(raw.After)
	}
	ord.Zone = cl.near(stg)
	if slack := cl.due - after - cl.work(stg) - fr.set.Clock.Now(); ord.Zone != "" && slack > 0 && !fr.crowded(cl) {
		ord.NearUntil = slack / clock.Milli(2*(left+1))
	}
	began := fr.set.Clock.Now()
	fld, home := fr.homes.Fill(ctx, fr.set.Control.View(), ord, func() (due, until clock.Milli) {
		now := fr.set.Clock.Now()
		return cl.due - after - now, cl.until - after - now
	})
	fr.tell(cl, stg, home, fr.set.Clock.Since(began), fld)
	out := stageOut{stage: stg, flaw: fld.Flaw, cancelled: ctx.Err() != nil}
	if out.flaw == talk.NoFlaw && len(fld.Results) != ord.Count {
		out.flaw = talk.Late
	}
	if out.flaw == talk.NoFlaw {
		out.made = made{pool: raw.Pool, stage: stg, list: fld.Results, home: home}
	}
	return out
}

// crowded tells whether pieces of any of the route's stages wait for long. Results
// take room at their makers until what follows is made; when room is short, a stage
// that waits for a near endpoint keeps those before it waiting too.
func (fr *Front) crowded(cl *call) bool {
	for i, stg := range cl.route.Stages() {
		spc := cl.batchOf(i)
		if spc == nil {
			continue
		}
		full := spc.Call + spc.Item*float64(spc.Most)
		if float64(fr.homes.Wait(stg.Pool)) > crowdedShare*full {
			return true
		}
	}
	return false
}

// tell writes a line for a stage that failed or took far longer than its work: it is
// what makes requests late.
func (fr *Front) tell(cl *call, stg int, home string, took clock.Milli, fld batch.Filled) {
	if planned := cl.work(stg); fld.Flaw != talk.NoFlaw || took > slowStage*planned {
		fr.set.Log.Info().Str("request", cl.ask.ID).Int("stage", stg).Str("pool", cl.route.Stages()[stg].Pool).
			Int("pieces", cl.count(stg)).Str("gatherer", home).Int64("took_ms", int64(took)).Int64("planned_ms", int64(planned)).
			Int("flaw", int(fld.Flaw)).Int64("pool_wait_ms", int64(fld.Wait)).Msg("stage waited")
	}
}

// near gives the data centre in which a stage's pieces should be made: the one that
// spares most bytes between data centres. Each piece fetches all results that its
// stage takes, and those of the last stages are fetched by the model engine.
func (cl *call) near(stg int) string {
	raw := cl.route.Stages()[stg]
	pull := map[string]int64{}
	if slices.Contains(cl.route.Leaves(), stg) {
		pull[cl.engine.Zone] += raw.Bytes
	}
	for _, mad := range cl.made {
		if !slices.Contains(raw.After, mad.stage) {
			continue
		}
		for _, res := range mad.list {
			pull[res.Zone] += cl.route.Stages()[mad.stage].Bytes
		}
	}
	best, most := "", int64(nearFrom-1)
	for zone, bytes := range pull {
		if bytes > most || bytes == most && zone < best {
			best, most = zone, bytes
		}
	}
	return best
}

// refuseStage gives the refusal for a stage that was not made. Nothing with an
// effect ran.
func (fr *Front) refuseStage(cl *call, out *stageOut) outcm.Result {
	pool := cl.route.Stages()[out.stage].Pool
	after := fr.comeBack(fr.homes.Wait(pool))
	switch {
	case fr.set.Clock.Now() >= cl.until:
		return outcm.Refuse(outcm.DeadlinePassed, after, fmt.Sprintf("stage %d was not made in time", out.stage))
	case out.flaw == talk.Late:
		return outcm.Refuse(outcm.Hopeless, after, fmt.Sprintf("stage %d can't be made in time", out.stage))
	}
	return outcm.Refuse(outcm.StageRefused, after, fmt.Sprintf("stage %d could not be made: flaw %d", out.stage, out.flaw))
}

// handles lists the results of stages, in the order of the stages and pieces.
func (cl *call) handles(stages []int) []string {
	var names []string
	for _, stg := range slices.Sorted(slices.Values(stages)) {
		for _, mad := range cl.made {
			if mad.stage != stg {
				continue
			}
			for _, res := range mad.list {
				names = append(names, res.Name)
			}
		}
	}
	return names
}

// giveBackUsed gives back the results that no later wave and not the final call
// takes: each holds room that others wait for.
func (fr *Front) giveBackUsed(cl *call, later [][]int) {
	for stg := range cl.route.Stages() {
		if slices.Contains(cl.route.Leaves(), stg) {
			continue
		}
		needed := false
		for _, wave := range later {
			for _, oth := range wave {
				needed = needed || slices.Contains(cl.route.Stages()[oth].After, stg)
			}
		}
		if !needed {
			fr.giveBack(cl, stg)
		}
	}
}

// giveBack gives back a stage's results, or all.
func (fr *Front) giveBack(cl *call, stg int) {
	cl.made = slices.DeleteFunc(cl.made, func(mad made) bool {
		if stg != allStages && mad.stage != stg {
			return false
		}
		fr.homes.Free(mad.home, batch.Freed{Pool: mad.pool, Results: mad.list})
		return true
	})
}
