package trial

import (
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// request is one request in flight. Its steps follow those of stage.Runner.
type request struct {
	ins      *instance
	wsp      workspacePlan
	svc      servicePlan
	arrived  clock.Milli
	deadline clock.Milli
	prefix   uint64
	stage    int
	attempts int
	avoid    []string
	ended    bool
	current  *work
	ep       route.Endpoint
	ticket   *admit.Ticket
	sentAt   clock.Milli
}

func (req *request) run() *run                    { return req.ins.run }
func (req *request) now() clock.Milli             { return req.run().tln.now }
func (req *request) pool() string                 { return req.svc.stages[req.stage].pool }
func (req *request) gate() *admit.Gate            { return req.ins.gates[req.pool()] }
func (req *request) remaining() clock.Milli       { return req.deadline - req.now() }
func (req *request) estimator() *admit.Estimator  { return req.ins.estimator(req.svc, req.stage) }
func (req *request) initialEstimate() clock.Milli { return req.run().initialEstimate(req.pool()) }

func (req *request) bounds() retry.Bounds { return retry.BoundsFor(req.run().pol.WeighsCost) }

func (req *request) admissionAsk(estimate clock.Milli) admit.Ask {
	return admit.Ask{Workspace: req.wsp.name, Share: req.wsp.weight, Priority: req.svc.priority, Deadline: req.deadline, Estimate: estimate}
}

// upperEstimate sums the service time estimates of the stages from i on: upper bounds, or means if
// the policy admits by the mean.
func (req *request) upperEstimate(i int) clock.Milli {
	sum := clock.Milli(0)
	for ; i < len(req.svc.stages); i++ {
		est, initial := req.ins.estimator(req.svc, i), req.run().initialEstimate(req.svc.stages[i].pool)
		if req.run().pol.AdmitsByMean {
			sum += est.Mean(initial, req.now())
		} else {
			sum += est.Upper(initial, req.now())
		}
	}
	return sum
}

func (req *request) begin() {
	req.run().tln.after(req.svc.deadline, req.expire)
	if req.run().pol.Admission {
		wait := clock.Milli(0)
		for i := range req.svc.stages {
			wait += req.ins.gates[req.svc.stages[i].pool].Queue().EstimateWait(req.admissionAsk(0))
		}
		if wait+req.upperEstimate(0) > req.remaining() {
			req.end("deadline_too_short")
			return
		}
	}
	req.beginStage()
}

// beginStage begins the current stage.
func (req *request) beginStage() {
	req.attempts, req.avoid = 0, nil
	req.gate().RecordAttempt()
	req.acquire()
}

// acquire sends the request to an endpoint, queues it, or ends it if it is refused.
func (req *request) acquire() {
	ask := route.Ask{Avoid: req.avoid}
	if req.svc.stages[req.stage].hasPrompt {
		ask.Prefix = req.prefix
	}
	ep, tkt, ans := req.gate().Enter(ask, req.admissionAsk(req.upperEstimate(req.stage)), req.now(), func(ep route.Endpoint, out admit.Outcome) {
		req.ticket = nil
		switch out {
		case admit.Served:
			req.send(ep)
		case admit.Displaced:
			req.end("queue_full")
		default:
			req.end("deadline_too_short")
		}
	})
	switch ans {
	case admit.Granted:
		req.send(ep)
	case admit.Waits:
		req.ticket = tkt
	case admit.RefusedFull:
		req.end("queue_full")
	case admit.RefusedLate:
		req.end("deadline_too_short")
	default:
		req.end("no_endpoint")
	}
}

func (req *request) send(ep route.Endpoint) {
	if req.ended {
		req.gate().Finish(ep.ID, route.Cancelled, 0, req.now())
		return
	}
	rnn := req.run()
	req.attempts++
	req.ep, req.sentAt = ep, req.now()
	wrk := &work{}
	if req.svc.stages[req.stage].hasPrompt {
		wrk.prefix = req.prefix
	}
	req.current = wrk
	wrk.done = func(ok bool, engine clock.Milli) { req.attemptEnded(wrk, ok, engine) }
	switch {
	case wrk.prefix != 0:
		rnn.tln.after(max(stallTimeout, timeoutFactor*req.ins.firstToken.Upper(stallTimeout/4, req.now())), func() { req.cancelIfStalled(wrk) })
	case req.attempts < req.bounds().Attempts():
		allow := max(minAttemptTimeout, timeoutFactor*req.estimator().Upper(req.initialEstimate(), req.now()))
		rnn.tln.after(allow, func() { req.cancelIfSlow(wrk) })
	}
	for _, srv := range rnn.pools[req.pool()] {
		if srv.id == ep.ID {
			rnn.res.attemptCount++
			srv.submit(wrk)
		}
	}
}

// attemptEnded handles the end of the current attempt: it goes on with the next stage, or retries
// if the attempt failed.
func (req *request) attemptEnded(wrk *work, ok bool, engine clock.Milli) {
	took := req.now() - req.sentAt
	req.run().res.addCost(req.pool(), engine)
	req.current = nil
	if !ok {
		req.run().res.addWaste(engine)
		req.gate().Finish(req.ep.ID, route.Failure, took, req.now())
		req.retryElsewhere()
		return
	}
	req.gate().Finish(req.ep.ID, route.Success, took, req.now())
	if !req.run().scn.noPiggyback {
		req.gate().Pool().Report(req.ep.ID, wrk.srv.load(), req.now())
	}
	if wrk.srv.leaving {
		req.gate().Pool().Leave(req.ep.ID)
	}
	req.estimator().Sample(took, req.now())
	if wrk.prefix != 0 {
		req.ins.firstToken.Sample(wrk.startedAt-req.sentAt, req.now())
	}
	req.run().res.addPartial(req, engine)
	req.stage++
	if req.stage == len(req.svc.stages) {
		req.end("")
		return
	}
	req.beginStage()
}

// cancelIfSlow cancels an attempt that is still running at the end of its allowed time.
func (req *request) cancelIfSlow(wrk *work) {
	if req.ended || req.current != wrk || wrk.ended {
		return
	}
	req.cancelAttempt(route.Overload)
	req.estimator().Sample(req.now()-req.sentAt, req.now())
	req.retryElsewhere()
}

// cancelIfStalled cancels a generation that produces no tokens, and otherwise checks again after
// stallTimeout.
func (req *request) cancelIfStalled(wrk *work) {
	if req.ended || req.current != wrk || wrk.ended {
		return
	}
	if wrk.started && !wrk.srv.frozen {
		req.run().tln.after(stallTimeout, func() { req.cancelIfStalled(wrk) })
		return
	}
	req.cancelAttempt(route.Failure)
	req.retryElsewhere()
}

// cancelAttempt cancels the current attempt and counts the endpoint time that it has cost.
func (req *request) cancelAttempt(out route.Outcome) {
	cost := req.current.cancel()
	req.current = nil
	req.run().res.addCost(req.pool(), cost)
	req.run().res.addWaste(cost)
	req.gate().Finish(req.ep.ID, out, req.now()-req.sentAt, req.now())
}

// retryElsewhere starts another attempt at another endpoint, if the policy allows one.
func (req *request) retryElsewhere() {
	if req.attempts >= req.bounds().Attempts() && req.run().pol.BoundedRetries || !req.gate().TakeRetry(req.bounds()) {
		req.end("stage_failed")
		return
	}
	req.run().res.retryCount++
	req.avoid = append(req.avoid, req.ep.ID)
	req.acquire()
}

// expire ends a request whose deadline has passed.
func (req *request) expire() {
	if req.ended {
		return
	}
	if req.ticket != nil {
		req.gate().Queue().Leave(req.ticket)
	}
	if req.current != nil {
		req.cancelAttempt(route.Overload)
	}
	req.end("deadline_passed")
}

func (req *request) end(reason string) {
	if req.ended {
		return
	}
	req.ended = true
	req.run().res.recordEnd(req, reason)
}
