package front

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/proto"
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
	// contendedShare is the wait at a pool, as a share of the time of a full batch, above which
	// the pool is contended: items then don't wait for an endpoint in their own data centre, and
	// requests that will be late are refused. With batches of 0.37 s, waits of 60 ms and of 200 ms
	// gave the same results.
	contendedShare = 0.5
	// slowStageFactor times its planned time is how long a stage may take without being logged.
	slowStageFactor = 2
	// maxRecomputes is how often stages whose results were lost are recomputed: an endpoint that
	// crashes loses all that it holds at that time, and a second loss within one request's
	// time means that the pool is failing.
	maxRecomputes = 1
	// minRetryAfter and maxRetryAfter bound the retry-after delay of refused callers.
	minRetryAfter = 100 * clock.Milli(1)
	maxRetryAfter = 2 * clock.Second
)

// itemCount returns the number of items that a request has of a stage.
func (cl *call) itemCount(stage int) int {
	if stage >= len(cl.ask.Items) {
		return 0
	}
	return cl.ask.Items[stage]
}

// placeAsk returns what the placement of the final call depends on.
func (cl *call) placeAsk(avoid []string) place.Ask {
	ask := place.Ask{Salt: cl.ask.ID, Avoid: avoid, MaxGap: cl.route.MaxEventGap(), Build: cl.bound.build}
	if cl.ask.Prompt != nil {
		ask.Prompt = *cl.ask.Prompt
	}
	return ask
}

// ticket identifies the request's next attempt at a model engine.
func (cl *call) ticket() string { return cl.ask.ID + "/" + strconv.Itoa(cl.attempts) }

// batchSpec returns the batch settings of a stage's pool.
func (cl *call) batchSpec(stage int) *plan.DraftBatch {
	pol, ok := cl.view.Plan().Pool(cl.route.Stages()[stage].Pool)
	if !ok {
		return nil
	}
	return pol.Batch()
}

// serviceTime returns the planned time of a stage's items in batches of their own.
func (cl *call) serviceTime(stage int) clock.Milli {
	spc := cl.batchSpec(stage)
	n := cl.itemCount(stage)
	if spc == nil || n == 0 {
		return 0
	}
	batches := (n + spc.MaxItems - 1) / spc.MaxItems
	return clock.Milli(spc.BatchMs + spc.ItemMs*float64(min(n, spc.MaxItems)) + spc.BatchMs*float64(batches-1))
}

// target chooses the final pool: that of the stream that the request resumes, or one of the route's.
func (fr *Front) target(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	name := cmp.Or(cl.bound.pool, cl.route.Target(rand.Float64()))
	pol, ok := cl.view.Plan().Pool(name)
	if ok && fr.set.Control.View().AllWithheld(name, cl.bound.build) {
		return fr.refuseEvacuated(name)
	}
	if !ok || !fr.pools.Usable(name) {
		return outcm.Refuse(outcm.NoEndpoint, retry.Jittered(staleRetryAfter), "the pool has no usable endpoint")
	}
	cl.pool = pol
	return nxt(ctx, cl)
}

// admit refuses at once requests that can't be answered before their deadline. While pools are
// contended it also refuses those that will probably be late: they would take the slot of a request
// that can be in time. While pools are not contended, late requests are admitted as long as they
// meet their deadline. The target latency of a retry counts from the caller's first attempt, so that
// it goes before requests that came later.
func (fr *Front) admit(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	name := cl.pool.Name()
	if end, all := fr.coord.RestEnd(name, cl.bound.build); all && end > fr.set.Clock.Now()+fr.firstByteEstimate(cl)+cl.slotWait() {
		return fr.refuseResting(end)
	}
	if len(cl.ask.Items) > len(cl.route.Stages()) || slices.Max(append(slices.Clone(cl.ask.Items), 0)) > coord.MaxItems {
		return outcm.New(outcm.NotRun, outcm.BadRequest, "pieces for more stages than the route has, or too many pieces of a stage")
	}
	for _, pool := range cl.pools() {
		if fr.set.Control.View().AllWithheld(pool, "") {
			return fr.refuseEvacuated(pool)
		}
	}
	fr.rankForStages(cl)
	fr.estimateWait(ctx, cl)
	now := fr.set.Clock.Now()
	tms := admit.Budget{Estimate: fr.firstByteEstimate(cl), ToDeadline: cl.deadline - now, ToTarget: cl.due - now, Contended: fr.contended(cl, cl.waitRank()), Starved: cl.starved, Wait: fr.rankWait(cl)}
	verdict := tms.Judge()
	fr.recordAdmission(cl, tms, verdict)
	switch verdict {
	case admit.MissesDeadline:
		return outcm.Refuse(outcm.Hopeless, fr.retryAfter(tms.RetryAfter()), fmt.Sprintf("%d ms are needed and %d left", tms.Estimate, tms.ToDeadline))
	case admit.ShedLate:
		return outcm.Refuse(outcm.Crowded, fr.retryAfter(tms.RetryAfter()), fmt.Sprintf("%d ms are needed and %d left to be in time", tms.Estimate, tms.ToTarget))
	}
	return nxt(ctx, cl)
}

// estimateWait asks the coordinators how long the request's items would wait, and when the request
// first came: the target latency counts from then.
func (fr *Front) estimateWait(ctx context.Context, cl *call) {
	pools := cl.pools()
	if len(pools) == 0 {
		return
	}
	cl.sinceFirst = fr.coord.QueryWaits(ctx, cl.view, coord.WaitAsk{Fingerprint: cl.retryKey(), Rank: cl.waitRank(), Pools: pools, Due: fr.dueIn(cl, pools)})
	cl.due -= cl.sinceFirst
}

// pools lists the pools for which a request has items.
func (cl *call) pools() []string {
	var names []string
	for i, stg := range cl.route.Stages() {
		if cl.itemCount(i) > 0 && !slices.Contains(names, stg.Pool) {
			names = append(names, stg.Pool)
		}
	}
	return names
}

// retryKey identifies a request by all that its caller sends again with a retry; only the ID of
// the attempt and the time left differ then.
func (cl *call) retryKey() uint64 {
	fpr := cl.fingerprint()
	return xxhash.Sum64String(string(fpr[:]) + cl.http.Method + "\x00" + cl.ask.ItemKey)
}

// firstByteEstimate estimates the time of a request from now to its first byte.
func (fr *Front) firstByteEstimate(cl *call) clock.Milli {
	if len(cl.route.Stages()) == 0 {
		return 0
	}
	return fr.pools.FirstByte(cl.route.Name()) + cl.route.Graph().Longest(func(stg int) clock.Milli { return fr.stageEstimate(cl, stg) })
}

// stageEstimate estimates the time of a stage that starts now, including its wait.
func (fr *Front) stageEstimate(cl *call, stg int) clock.Milli {
	if cl.itemCount(stg) == 0 {
		return 0
	}
	return fr.coord.EstimateWait(cl.route.Stages()[stg].Pool, cl.waitRank()) + cl.serviceTime(stg)
}

// retryAfter returns a retry-after delay with jitter, so that callers refused together don't
// return together.
func (fr *Front) retryAfter(span clock.Milli) clock.Milli {
	return retry.Jittered(min(max(span, minRetryAfter), maxRetryAfter))
}

// stages runs the stages that make the inputs of the final call.
func (fr *Front) stages(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	if len(cl.route.Stages()) == 0 || len(cl.ask.Items) == 0 {
		return nxt(ctx, cl)
	}
	if eng, _, ok := fr.coord.Predict(ctx, cl.view, cl.pool.Name(), cl.placeAsk(nil)); ok {
		cl.engine = eng
	}
	began := fr.set.Clock.Now()
	if res := fr.runStages(ctx, cl); res.Outcome() != outcm.Pending {
		if res.IsRefusal() {
			fr.revokeAdmission(cl)
		}
		return res
	}
	cl.stagesTook = fr.set.Clock.Since(began)
	cl.inputs = cl.handleNames(cl.route.Graph().Leaves())
	return nxt(ctx, cl)
}

// runStages starts each stage as soon as its dependencies allow. When a stage fails, the others are
// of no use and are canceled.
func (fr *Front) runStages(ctx context.Context, cl *call) outcm.Result {
	run := cl.route.Graph().Run(func(stg int) bool { return cl.itemCount(stg) == 0 })
	refusal := outcm.Result{}
	walk.Run(ctx, run, walk.Callbacks[stageOut]{
		Estimate: func(stg int) clock.Milli { return fr.stageEstimate(cl, stg) },
		Start: func(stg int) func(context.Context) stageOut {
			jb := fr.job(cl, stg, cl.releasedEarly(run.LastInputs(stg)))
			return func(ctx context.Context) stageOut { return fr.runStage(ctx, cl, jb) }
		},
		OnEnd: func(stg int, out stageOut) walk.Outcome {
			cl.dropResults(out.released)
			switch {
			case out.failure == proto.InputLost && fr.recompute(cl, run, stg):
				return walk.Reset
			case out.failure != proto.NoFailure:
				refusal = fr.refuseStage(cl, out)
				return walk.Failed
			}
			cl.addResults(out)
			if fr.isQuarantined(cl) {
				refusal = fr.refuseQuarantined(cl)
				return walk.Failed
			}
			return walk.Done
		},
		OnUnused: func(stg int) { fr.releaseResults(cl, stg) },
		OnCancelled: func(_ int, out stageOut) {
			cl.dropResults(out.released)
			cl.addResults(out)
		},
	})
	return refusal
}

// recompute resets the stages that must run again because inputs of a stage were lost: their
// endpoint crashed, or they had been released when a batch that had fetched them failed. It returns
// false if recomputing is of no use.
func (fr *Front) recompute(cl *call, run *graph.Run, stg int) bool {
	if cl.recomputes >= maxRecomputes || fr.firstByteEstimate(cl) > cl.deadline-fr.set.Clock.Now() {
		return false
	}
	cl.recomputes++
	lost := run.Reset(stg, cl.hasResultsOf)
	cl.recomputed = append(lost, stg)
	for _, pre := range lost {
		fr.releaseResults(cl, pre)
	}
	fr.set.Meter.CountRetry(retry.InputLost)
	fr.set.Log.Info().Str("request", cl.ask.ID).Int("stage", stg).Ints("again", lost).
		Int64("left_ms", int64(cl.deadline-fr.set.Clock.Now())).Msg("inputs lost, recomputing stages")
	return true
}

// addResults records the results of a stage, which are released later.
func (cl *call) addResults(out stageOut) {
	if out.failure == proto.NoFailure {
		cl.mtx.Lock()
		defer cl.mtx.Unlock()
		cl.results = append(cl.results, out.results)
	}
}

// job is the order for a stage's items, with the time by which they are due and the deadline after
// which they are of no use.
type job struct {
	ord      batch.Order
	due      clock.Milli
	deadline clock.Milli
	// releases are the stages whose results are released once fetched.
	releases []int
}

// job returns the order for a stage that starts now. last are the stages whose results no other
// stage takes; they are released as soon as this stage's items have fetched them.
func (fr *Front) job(cl *call, stg int, last []int) job {
	raw := cl.route.Stages()[stg]
	ord := batch.Order{
		Pool: raw.Pool, Request: cl.ask.ID, Stage: stg, Count: cl.itemCount(stg), Bytes: raw.Bytes, Rank: cl.stageRank, Ranked: cl.ranked, Zone: cl.preferredZone(stg),
		LastInputs: cl.resultSets(last), Recompute: slices.Contains(cl.recomputed, stg), Exclusive: len(fr.crashesUnder(cl)) > 0,
	}
	if len(raw.After) == 0 {
		ord.Key = cl.ask.ItemKey
	} else {
		ord.Inputs = cl.handleNames(raw.After)
		ord.InputBytes = cl.resultBytes(raw.After)
	}
	after := fr.timeAfter(cl, stg)
	jb := job{ord: ord, due: cl.due - after, deadline: min(cl.deadline-after, cl.inputsExpire(stg)), releases: last}
	jb.ord.LocalUntil = fr.zoneWait(cl, jb)
	return jb
}

// stageOut is the outcome of a stage.
type stageOut struct {
	results stageResults
	stage   int
	failure proto.Failure
	// released are the stages whose results were released when they had been fetched.
	released []int
}

// runStage has the order of a stage filled.
func (fr *Front) runStage(ctx context.Context, cl *call, jb job) stageOut {
	began := fr.set.Clock.Now()
	orr, coordinator := fr.coord.Fill(ctx, jb.ord, func() (due, until clock.Milli) {
		now := fr.set.Clock.Now()
		return jb.due - now, jb.deadline - now
	})
	ended := fr.set.Clock.Now()
	fr.logSlowStage(cl, jb.ord.Stage, coordinator, ended-began, orr)
	for _, id := range orr.Crashed {
		fr.set.Control.RecordCrash(cl.fingerprint(), id)
	}
	out := stageOut{stage: jb.ord.Stage, failure: orr.Failure}
	if orr.InputsReleased {
		out.released = jb.releases
	}
	if out.failure == proto.NoFailure && len(orr.Results) != jb.ord.Count {
		out.failure = proto.Late
	}
	if out.failure == proto.NoFailure {
		out.results = stageResults{pool: jb.ord.Pool, stage: jb.ord.Stage, handles: orr.Results, coordinator: coordinator, madeAt: ended}
	}
	return out
}

// timeAfter returns the planned time from the end of a stage to the first byte of the response.
func (fr *Front) timeAfter(cl *call, stg int) clock.Milli {
	paths := cl.route.Graph().PathTimes(cl.serviceTime)
	return fr.pools.FirstByte(cl.route.Name()) + paths[stg] - cl.serviceTime(stg)
}

// zoneWait returns how long a stage's items wait for an endpoint in their preferred data centre: a
// part of the slack, which is shared with the stages that follow.
func (fr *Front) zoneWait(cl *call, jb job) clock.Milli {
	slack := jb.due - cl.serviceTime(jb.ord.Stage) - fr.set.Clock.Now()
	if jb.ord.Zone == "" || slack <= 0 || fr.contended(cl, cl.longestRank()) {
		return 0
	}
	left := cl.route.Graph().PathTimes(func(int) clock.Milli { return 1 })[jb.ord.Stage]
	return slack / (2 * (left + 1))
}

// contended reports whether items of a rank have a long wait at any of the route's stages. Results take
// storage at their endpoints until the next stage is done; when storage is short, a stage that
// waits for an endpoint in its own data centre keeps the stages before it waiting too.
func (fr *Front) contended(cl *call, rank int) bool {
	for i, stg := range cl.route.Stages() {
		spc := cl.batchSpec(i)
		if spc == nil {
			continue
		}
		full := spc.BatchMs + spc.ItemMs*float64(spc.MaxItems)
		if float64(fr.coord.EstimateWait(stg.Pool, rank)) > contendedShare*full {
			return true
		}
	}
	return false
}

// logSlowStage logs a stage that failed or took far longer than planned, since such stages make
// requests late.
func (fr *Front) logSlowStage(cl *call, stg int, coordinator string, took clock.Milli, orr batch.OrderResult) {
	if planned := cl.serviceTime(stg); orr.Failure != proto.NoFailure || took > slowStageFactor*planned {
		fr.set.Log.Info().Str("request", cl.ask.ID).Int("stage", stg).Str("pool", cl.route.Stages()[stg].Pool).
			Int("pieces", cl.itemCount(stg)).Str("gatherer", coordinator).Int64("took_ms", int64(took)).Int64("planned_ms", int64(planned)).
			Str("flaw", orr.Failure.String()).Int64("pool_wait_ms", int64(orr.Wait)).Msg("stage slow or failed")
	}
}

// refuseStage returns the refusal for a stage that failed. Nothing with a side effect has run.
func (fr *Front) refuseStage(cl *call, out stageOut) outcm.Result {
	pool := cl.route.Stages()[out.stage].Pool
	after := fr.retryAfter(fr.coord.EstimateWait(pool, cl.waitRank()))
	switch {
	case fr.set.Clock.Now() >= cl.deadline:
		return outcm.Refuse(outcm.DeadlinePassed, after, fmt.Sprintf("stage %d did not finish before the deadline", out.stage))
	case out.failure == proto.Late:
		return outcm.Refuse(outcm.Hopeless, after, fmt.Sprintf("stage %d can't finish in time", out.stage))
	}
	return outcm.Refuse(outcm.StageRefused, after, fmt.Sprintf("stage %d failed: %s", out.stage, out.failure))
}
