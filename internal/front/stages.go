package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/talk"
	"amaranthvalve/internal/walk"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// crowdedShare of the time of a full call is the wait at a pool from which on
	// it is crowded: nothing waits for a near endpoint, and requests that will be
	// late are refused. Measured with calls of 0.37 s: 60 ms and 200 ms did alike.
	crowdedShare = 0.5
	// slowStage times its planned time makes a stage's line worth writing.
	slowStage = 2
	// maxRemakes is how often stages are made again whose results were lost: an
	// endpoint that dies takes those of a moment with it, and a second loss in one
	// request's time is that of a pool that is failing.
	maxRemakes = 1
	// soonest and latest bound when a refused caller should come back.
	soonest = 100 * clock.Milli(1)
	latest  = 2 * clock.Second
)

// count gives the number of pieces that a request has of a stage.
func (cl *call) count(stage int) int {
	if stage >= len(cl.ask.Pieces) {
		return 0
	}
	return cl.ask.Pieces[stage]
}

// want gives what the final call is placed by.
func (cl *call) want(avoid []string) place.Ask {
	ask := place.Ask{Salt: cl.ask.ID, Avoid: avoid, Gap: cl.route.Gap()}
	if cl.ask.Prompt != nil {
		ask.Prompt = *cl.ask.Prompt
	}
	return ask
}

// ticket names the request's next attempt at a model engine.
func (cl *call) ticket() string { return cl.ask.ID + "/" + strconv.Itoa(cl.attempts) }

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

// admit chooses the final pool, and refuses at once what can't be answered before its
// caller leaves, and while pools are crowded what will probably be late: it would take
// the place of another request that can be in time. While they aren't, what will merely
// be late is let in. A caller that comes back is measured by when it came first, and
// goes before those who came later.
func (fr *Front) admit(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	name := cl.route.Target(rand.Float64())
	pol, ok := cl.view.Plan().Pool(name)
	if !ok || !fr.pools.Usable(name) {
		return outcm.Refuse(outcm.NoEndpoint, retry.Spread(staleRetry), "no endpoint is known that could run it")
	}
	cl.pool = pol
	if len(cl.ask.Pieces) > len(cl.route.Stages()) || slices.Max(append(slices.Clone(cl.ask.Pieces), 0)) > homes.MaxPieces {
		return outcm.New(outcm.NotRun, outcm.BadRequest, "more pieces than the route has stages for, or too many")
	}
	fr.forecast(ctx, cl)
	now := fr.set.Clock.Now()
	tms := admit.Times{Need: fr.need(cl), Left: cl.until - now, InTime: cl.due - now, Crowded: fr.crowded(cl)}
	switch tms.Judge() {
	case admit.Hopeless:
		return outcm.Refuse(outcm.Hopeless, fr.comeBack(tms.Over()), fmt.Sprintf("%d ms are needed and %d left", tms.Need, tms.Left))
	case admit.LateInCrowd:
		return outcm.Refuse(outcm.Crowded, fr.comeBack(tms.Over()), fmt.Sprintf("%d ms are needed and %d left to be in time", tms.Need, tms.InTime))
	}
	return nxt(ctx, cl)
}

// forecast asks how long the request's pieces would wait, and when it came first: the
// goal counts from then.
func (fr *Front) forecast(ctx context.Context, cl *call) {
	pools := cl.pools()
	if len(pools) == 0 {
		return
	}
	cl.spent = fr.homes.Ask(ctx, cl.view, cl.visit(), pools)
	cl.due -= cl.spent
}

// pools lists the pools that a request has pieces for.
func (cl *call) pools() []string {
	var names []string
	for i, stg := range cl.route.Stages() {
		if cl.count(i) > 0 && !slices.Contains(names, stg.Pool) {
			names = append(names, stg.Pool)
		}
	}
	return names
}

// visit names a request by all that a caller sends with it again when it comes back; only
// the attempt's own name and the time left are other ones then.
func (cl *call) visit() uint64 {
	mrk := cl.mark()
	return xxhash.Sum64String(string(mrk[:]) + cl.http.Method + "\x00" + cl.ask.PieceKey)
}

// need estimates the time of a request from now to its first byte.
func (fr *Front) need(cl *call) clock.Milli {
	if len(cl.route.Stages()) == 0 {
		return 0
	}
	return fr.pools.FirstByte(cl.route.Name()) + cl.route.Graph().Longest(func(stg int) clock.Milli { return fr.span(cl, stg) })
}

// span estimates the time of a stage that begins now, its wait included.
func (fr *Front) span(cl *call, stg int) clock.Milli {
	if cl.count(stg) == 0 {
		return 0
	}
	return fr.homes.Wait(cl.route.Stages()[stg].Pool) + cl.work(stg)
}

// comeBack gives a span to come back after, spread so that those refused together
// don't return together.
func (fr *Front) comeBack(span clock.Milli) clock.Milli {
	return retry.Spread(min(max(span, soonest), latest))
}

// stages has the pieces made that the final call takes.
func (fr *Front) stages(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	if len(cl.route.Stages()) == 0 || len(cl.ask.Pieces) == 0 {
		return nxt(ctx, cl)
	}
	if eng, _, ok := fr.homes.Aim(ctx, cl.view, cl.pool.Name(), cl.want(nil)); ok {
		cl.engine = eng
	}
	began := fr.set.Clock.Now()
	if res := fr.makeAll(ctx, cl); res.Outcome() != outcm.Pending {
		return res
	}
	cl.staged = fr.set.Clock.Since(began)
	cl.inputs = cl.handles(cl.route.Graph().Leaves())
	return nxt(ctx, cl)
}

// makeAll has each stage made as soon as it may begin. When one can't be made, the
// others are of no use and are withdrawn.
func (fr *Front) makeAll(ctx context.Context, cl *call) outcm.Result {
	run := cl.route.Graph().Run(func(stg int) bool { return cl.count(stg) == 0 })
	refusal := outcm.Result{}
	walk.All(ctx, run, walk.Steps[stageOut]{
		Span: func(stg int) clock.Milli { return fr.span(cl, stg) },
		Begin: func(stg int) func(context.Context) stageOut {
			jb := fr.job(cl, stg, cl.heavy(run.Last(stg)))
			return func(ctx context.Context) stageOut { return fr.stage(ctx, cl, jb) }
		},
		Ended: func(stg int, out stageOut) walk.Word {
			cl.forget(out.fetched)
			switch {
			case out.flaw == talk.InputGone && fr.remake(cl, run, stg):
				return walk.Undone
			case out.flaw != talk.NoFlaw:
				refusal = fr.refuseStage(cl, out)
				return walk.Failed
			}
			cl.keep(out)
			if fr.isQuarantined(cl) {
				refusal = fr.quarantined(cl)
				return walk.Failed
			}
			return walk.Made
		},
		Unused: func(stg int) { fr.giveBack(cl, stg) },
		Left: func(_ int, out stageOut) {
			cl.forget(out.fetched)
			cl.keep(out)
		},
	})
	return refusal
}

// remake takes the stages back that must be made again because the inputs of one are
// gone: their maker died, or they had been given back when a call that had fetched them
// failed. False if that would be of no use.
func (fr *Front) remake(cl *call, run *graph.Run, stg int) bool {
	if cl.remakes >= maxRemakes || fr.need(cl) > cl.until-fr.set.Clock.Now() {
		return false
	}
	cl.remakes++
	lost := run.Undo(stg, cl.holdsOf)
	cl.again = append(lost, stg)
	for _, pre := range lost {
		fr.giveBack(cl, pre)
	}
	fr.set.Meter.Retried(retry.InputLost)
	fr.set.Log.Info().Str("request", cl.ask.ID).Int("stage", stg).Ints("again", lost).
		Int64("left_ms", int64(cl.until-fr.set.Clock.Now())).Msg("inputs lost")
	return true
}

// keep notes the results of a stage, which are given back later.
func (cl *call) keep(out stageOut) {
	if out.flaw == talk.NoFlaw {
		cl.mtx.Lock()
		defer cl.mtx.Unlock()
		cl.made = append(cl.made, out.made)
	}
}

// job is the order for a stage's pieces, with the instants by which they should be
// made and after which they are of no use.
type job struct {
	ord   batch.Order
	due   clock.Milli
	until clock.Milli
	// last are the stages whose results are given back once fetched.
	last []int
}

// job makes the order for a stage that begins now. last are stages whose results nobody
// else takes, to be given back as soon as its pieces have fetched them.
func (fr *Front) job(cl *call, stg int, last []int) job {
	raw := cl.route.Stages()[stg]
	ord := batch.Order{
		Pool: raw.Pool, Request: cl.ask.ID, Stage: stg, Count: cl.count(stg), Bytes: raw.Bytes, Rank: cl.rank, Zone: cl.near(stg),
		Last: cl.lots(last), Again: slices.Contains(cl.again, stg), Alone: len(fr.endsUnder(cl)) > 0,
	}
	if len(raw.After) == 0 {
		ord.Key = cl.ask.PieceKey
	} else {
		ord.Inputs = cl.handles(raw.After)
		ord.InputBytes = cl.weight(raw.After)
	}
	after := fr.after(cl, stg)
	jb := job{ord: ord, due: cl.due - after, until: min(cl.until-after, cl.lapses(stg)), last: last}
	jb.ord.NearUntil = fr.nearFor(cl, jb)
	return jb
}

// stageOut is what became of a stage.
type stageOut struct {
	made  made
	stage int
	flaw  talk.Flaw
	// fetched are the stages whose results were given back when they had been fetched.
	fetched []int
}

// stage has an order filled.
func (fr *Front) stage(ctx context.Context, cl *call, jb job) stageOut {
	began := fr.set.Clock.Now()
	fld, home := fr.homes.Fill(ctx, jb.ord, func() (due, until clock.Milli) {
		now := fr.set.Clock.Now()
		return jb.due - now, jb.until - now
	})
	ended := fr.set.Clock.Now()
	fr.tell(cl, jb.ord.Stage, home, ended-began, fld)
	for _, id := range fld.Ended {
		fr.set.Control.EndedUnder(cl.mark(), id)
	}
	out := stageOut{stage: jb.ord.Stage, flaw: fld.Flaw}
	if fld.Fetched {
		out.fetched = jb.last
	}
	if out.flaw == talk.NoFlaw && len(fld.Results) != jb.ord.Count {
		out.flaw = talk.Late
	}
	if out.flaw == talk.NoFlaw {
		out.made = made{pool: jb.ord.Pool, stage: jb.ord.Stage, list: fld.Results, home: home, at: ended}
	}
	return out
}

// after gives the planned time from a stage's end to the request's first byte.
func (fr *Front) after(cl *call, stg int) clock.Milli {
	ways := cl.route.Graph().Ways(cl.work)
	return fr.pools.FirstByte(cl.route.Name()) + ways[stg] - cl.work(stg)
}

// nearFor gives how long a stage's pieces wait for an endpoint of their data centre: a
// part of the time to spare, which the stages that follow share.
func (fr *Front) nearFor(cl *call, jb job) clock.Milli {
	slack := jb.due - cl.work(jb.ord.Stage) - fr.set.Clock.Now()
	if jb.ord.Zone == "" || slack <= 0 || fr.crowded(cl) {
		return 0
	}
	left := cl.route.Graph().Ways(func(int) clock.Milli { return 1 })[jb.ord.Stage]
	return slack / (2 * (left + 1))
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
			Str("flaw", fld.Flaw.String()).Int64("pool_wait_ms", int64(fld.Wait)).Msg("stage waited")
	}
}

// refuseStage gives the refusal for a stage that was not made. Nothing with an
// effect ran.
func (fr *Front) refuseStage(cl *call, out stageOut) outcm.Result {
	pool := cl.route.Stages()[out.stage].Pool
	after := fr.comeBack(fr.homes.Wait(pool))
	switch {
	case fr.set.Clock.Now() >= cl.until:
		return outcm.Refuse(outcm.DeadlinePassed, after, fmt.Sprintf("stage %d was not made in time", out.stage))
	case out.flaw == talk.Late:
		return outcm.Refuse(outcm.Hopeless, after, fmt.Sprintf("stage %d can't be made in time", out.stage))
	}
	return outcm.Refuse(outcm.StageRefused, after, fmt.Sprintf("stage %d could not be made: %s", out.stage, out.flaw))
}
