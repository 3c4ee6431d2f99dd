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

// tickInterval is the interval at which the queue of a pool is checked if no other event
// occurs.
const tickInterval = 50 * time.Millisecond

// Runner runs requests through their stages. Its methods are safe for concurrent use.
type Runner struct {
	clk  clock.Clock
	zone string
	cli  *engin.Client
	mtr  *meter.Meter
	// onLeaving is called when an endpoint reports that it is leaving.
	onLeaving func(pool, id string)

	mtx     sync.Mutex
	pools   map[string]*pool
	timings map[string]*timing
}

// timing is the measured time of a stage. A generating stage is measured by the time to its
// first token and the microseconds between tokens. A mean time per token would count the cost
// of the prompt, which falls on the first token, for every token, and after a few short answers
// long ones would be refused.
type timing struct {
	base     admit.Estimator
	tokenGap admit.Estimator
}

// New returns a runner without endpoints. onLeaving is called when an endpoint reports that it is
// leaving; it must not block.
func New(clk clock.Clock, zone string, mtr *meter.Meter, onLeaving func(pool, id string)) *Runner {
	return &Runner{
		clk: clk, zone: zone, cli: engin.New(), mtr: mtr, onLeaving: onLeaving,
		pools: map[string]*pool{}, timings: map[string]*timing{},
	}
}

// OnUnbounded sets the function that is called with the address of an endpoint whose answer exceeded a bound. It must
// be called before the first request.
func (rnr *Runner) OnUnbounded(call func(addr string, err error)) { rnr.cli.OnUnbounded = call }

// Tick checks the queues of all pools periodically until the context ends.
func (rnr *Runner) Tick(ctx context.Context) {
	tkr := time.NewTicker(tickInterval)
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

// Sync replaces the endpoints of all pools.
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

// Report records the load that an endpoint reported.
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

// Leave records that an endpoint is leaving, as reported by another instance.
func (rnr *Runner) Leave(name, id string) {
	pl := rnr.pool(name)
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Pool().Leave(id)
}

// EndpointStates lists the states of all endpoints by pool, for operators.
func (rnr *Runner) EndpointStates() map[string][]route.EndpointState {
	all := map[string][]route.EndpointState{}
	for name, pl := range rnr.allPools() {
		pl.mtx.Lock()
		all[name] = pl.gate.Pool().EndpointStates()
		pl.mtx.Unlock()
	}
	return all
}

func (rnr *Runner) timing(service, stage string) *timing {
	key := service + "/" + stage
	tmg, ok := rnr.timings[key]
	if !ok {
		tmg = &timing{}
		rnr.timings[key] = tmg
	}
	return tmg
}

// timeFunc estimates the time of stage i for a number of tokens.
type timeFunc func(doc *svcdoc.Document, i, tokens int) clock.Milli

// meanTime and upperTime return the mean and a conservative estimate of the time of a stage.
func (rnr *Runner) meanTime(doc *svcdoc.Document, i, tokens int) clock.Milli {
	return rnr.estimate(doc, i, tokens, (*admit.Estimator).Mean)
}

func (rnr *Runner) upperTime(doc *svcdoc.Document, i, tokens int) clock.Milli {
	return rnr.estimate(doc, i, tokens, (*admit.Estimator).Upper)
}

func (rnr *Runner) estimate(doc *svcdoc.Document, i, tokens int, stat func(est *admit.Estimator, initial, now clock.Milli) clock.Milli) clock.Milli {
	stg := doc.Stage(i)
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	tmg := rnr.timing(doc.Name(), stg.Name())
	now := rnr.clk.Now()
	sum := stat(&tmg.base, stg.Estimate(), now)
	if stg.Kind() == svcdoc.Generate {
		sum += stat(&tmg.tokenGap, 0, now) * clock.Milli(max(tokens-1, 0)) / 1000
	}
	return sum
}

// sample records the time of a stage that returned one complete answer.
func (rnr *Runner) sample(service, stage string, took clock.Milli) {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	rnr.timing(service, stage).base.Sample(took, rnr.clk.Now())
}

// sampleStream records the time to the first token and the total time of a generation.
func (rnr *Runner) sampleStream(service, stage string, first, took clock.Milli, tokens int) {
	rnr.mtx.Lock()
	defer rnr.mtx.Unlock()
	rnr.timing(service, stage).base.Sample(first, rnr.clk.Now())
	if tokens > 1 {
		rnr.timing(service, stage).tokenGap.Sample((took-first)*1000/clock.Milli(tokens-1), rnr.clk.Now())
	}
}

// Admit decides on arrival whether a request can be answered in time: it compares the queueing
// times of its pools and the estimated times of its stages with its deadline. A refusal at this
// point costs the endpoints nothing. A refusal later on would have wasted some of their time.
func (rnr *Runner) Admit(job *Job) outcm.Result {
	worst := clock.Milli(0)
	waits := make([]clock.Milli, job.Doc.Stages())
	for i := range job.Doc.Stages() {
		pl := rnr.pool(job.Doc.Stage(i).Pool())
		pl.mtx.Lock()
		usable := pl.gate.Pool().Usable()
		wait := pl.gate.Queue().EstimateWait(job.admission(0))
		pl.mtx.Unlock()
		if usable == 0 {
			return pl.refuse(outcm.NoEndpoint, "pool "+job.Doc.Stage(i).Pool()+" has no usable endpoint")
		}
		worst, waits[i] = max(worst, wait), wait
	}
	sum := job.Doc.Graph().Longest(func(stg int) clock.Milli { return waits[stg] + job.stageTimes(rnr.upperTime)(stg) })
	left := job.Deadline - rnr.clk.Now()
	if (admit.Budget{Estimate: sum, ToDeadline: left, ToTarget: left}).Judge() != admit.Admit {
		res := rnr.pool(job.Doc.Stage(0).Pool()).refuse(outcm.DeadlineTooShort, "the expected time of queues and stages exceeds the deadline")
		return outcm.Refuse(res.Reason(), max(res.RetryAfter(), worst), res.Detail())
	}
	return outcm.Result{}
}
