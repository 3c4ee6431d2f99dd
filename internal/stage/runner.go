package stage

import (
	"context"
	"sync"
	"time"

	"amaranthvalve/internal/engin"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/route"
	"amaranthvalve/pkg/svcdoc"
)

// tickEvery is how often waiting requests are looked at when nothing else
// happens to their pool.
const tickEvery = 50 * time.Millisecond

// Runner takes requests through their stages. Its methods may be called by any
// goroutine.
type Runner struct {
	clk  clock.Clock
	zone string
	cli  *engin.Client
	mtr  *meter.Meter
	// left is told when an endpoint's own word says that it is leaving.
	left func(pool, id string)

	mtx   sync.Mutex
	pools map[string]*pool
	needs map[string]*need
}

// need is the measured time of a stage. A generating one is measured as the time
// to its first token and the microseconds from one token to the next: a mean a
// token would take the first one's cost, the prompt's, for every token, and
// refuse long answers after a few short ones.
type need struct {
	whole admit.Estimator
	gap   admit.Estimator
}

// New returns a runner without endpoints. left is called when an endpoint says
// that it is leaving; it must not block.
func New(clk clock.Clock, zone string, mtr *meter.Meter, left func(pool, id string)) *Runner {
	return &Runner{
		clk: clk, zone: zone, cli: engin.New(), mtr: mtr, left: left,
		pools: map[string]*pool{}, needs: map[string]*need{},
	}
}

// Tick looks after waiting requests until the context ends.
func (rnr *Runner) Tick(ctx context.Context) {
	tkr := time.NewTicker(tickEvery)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
		waiting, inFlight := 0, 0
		for _, pl := range rnr.allPools() {
			pl.tick(rnr.clk.Now())
			pl.mtx.Lock()
			waiting += pl.gate.Queue().Len()
			inFlight += pl.gate.Pool().InFlight()
			pl.mtx.Unlock()
		}
		rnr.mtr.SetGauge(meter.GaugeQueue, float64(waiting))
		rnr.mtr.SetGauge(meter.GaugeInFlight, float64(inFlight))
	}
}

func (rnr *Runner) allPools() map[string]*pool {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	all := make(map[string]*pool, len(rnr.pools))
	for name, pl := range rnr.pools {
		all[name] = pl
	}
	return all
}

func (rnr *Runner) pool(name string) *pool {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	pl, ok := rnr.pools[name]
	if !ok {
		pl = newPool(rnr.zone)
		rnr.pools[name] = pl
	}
	return pl
}

// Sync makes the pools hold just these endpoints.
func (rnr *Runner) Sync(eps map[string][]route.Endpoint) {
	for name := range eps {
		rnr.pool(name)
	}
	for name, pl := range rnr.allPools() {
		pl.mtx.Lock()
		pl.gate.Pool().Sync(eps[name])
		pl.gate.Tick(rnr.clk.Now())
		pl.mtx.Unlock()
	}
}

// Report notes an endpoint's load.
func (rnr *Runner) Report(name, id string, rep wire.Load) {
	pl := rnr.pool(name)
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Pool().Report(id, float64(rep.Load), rnr.clk.Now())
	for _, prefix := range rep.Evicted {
		pl.gate.Pool().Evicted(id, prefix)
	}
	if rep.Leaving {
		pl.gate.Pool().Leave(id)
	}
}

// Leave notes that an endpoint is leaving, as another instance heard.
func (rnr *Runner) Leave(name, id string) {
	pl := rnr.pool(name)
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Pool().Leave(id)
}

// Standings lists all endpoints by pool, for a person.
func (rnr *Runner) Standings() map[string][]route.Standing {
	all := map[string][]route.Standing{}
	for name, pl := range rnr.allPools() {
		pl.mtx.Lock()
		all[name] = pl.gate.Pool().Standings()
		pl.mtx.Unlock()
	}
	return all
}

func (rnr *Runner) need(service, stage string) *need {
	key := service + "/" + stage
	ned, ok := rnr.needs[key]
	if !ok {
		ned = &need{}
		rnr.needs[key] = ned
	}
	return ned
}

// estimate gives what a stage takes.
type estimate func(doc *svcdoc.Document, i, tokens int) clock.Milli

// typical and careful give a stage's expected and cautious time.
func (rnr *Runner) typical(doc *svcdoc.Document, i, tokens int) clock.Milli {
	return rnr.guess(doc, i, tokens, (*admit.Estimator).Mean)
}

func (rnr *Runner) careful(doc *svcdoc.Document, i, tokens int) clock.Milli {
	return rnr.guess(doc, i, tokens, (*admit.Estimator).Upper)
}

func (rnr *Runner) guess(doc *svcdoc.Document, i, tokens int, how func(ned *admit.Estimator, guess, now clock.Milli) clock.Milli) clock.Milli {
	stg := doc.Stage(i)
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	ned := rnr.need(doc.Name(), stg.Name())
	now := rnr.clk.Now()
	sum := how(&ned.whole, stg.Estimate(), now)
	if stg.Kind() == svcdoc.Generate {
		sum += how(&ned.gap, 0, now) * clock.Milli(max(tokens-1, 0)) / 1000
	}
	return sum
}

// sample notes the time of a stage that answered in one piece.
func (rnr *Runner) sample(service, stage string, took clock.Milli) {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	rnr.need(service, stage).whole.Sample(took, rnr.clk.Now())
}

// sampleStream notes the time to the first token and the time of all.
func (rnr *Runner) sampleStream(service, stage string, first, took clock.Milli, tokens int) {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	rnr.need(service, stage).whole.Sample(first, rnr.clk.Now())
	if tokens > 1 {
		rnr.need(service, stage).gap.Sample((took-first)*1000/clock.Milli(tokens-1), rnr.clk.Now())
	}
}

// Admit tells on arrival whether a request can be answered in time: the waits
// before its pools and the measured needs of its stages against its deadline.
// A refusal costs the endpoints nothing; the same request refused later would
// have used some of their time for nothing.
func (rnr *Runner) Admit(job *Job) outcm.Result {
	worst := clock.Milli(0)
	waits := make([]clock.Milli, job.Doc.Stages())
	for i := range job.Doc.Stages() {
		pl := rnr.pool(job.Doc.Stage(i).Pool())
		pl.mtx.Lock()
		usable := pl.gate.Pool().Usable()
		wait := pl.gate.Queue().EstimateWait(job.ask(0))
		pl.mtx.Unlock()
		if usable == 0 {
			return pl.refuse(outcm.NoEndpoint, "pool "+job.Doc.Stage(i).Pool()+" has no endpoint that takes work")
		}
		worst, waits[i] = max(worst, wait), wait
	}
	sum := job.Doc.Graph().Longest(func(stg int) clock.Milli { return waits[stg] + job.needs(rnr.careful)(stg) })
	left := job.Deadline - rnr.clk.Now()
	if (admit.Budget{Estimate: sum, ToDeadline: left, ToTarget: left}).Judge() != admit.LetIn {
		res := rnr.pool(job.Doc.Stage(0).Pool()).refuse(outcm.DeadlineTooShort, "waits and stages are expected to take longer than the deadline")
		return outcm.Refuse(res.Reason(), max(res.RetryAfter(), worst), res.Detail())
	}
	return outcm.Result{}
}
