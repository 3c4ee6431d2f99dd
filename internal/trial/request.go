package trial

import (
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// request is one request on its way; it follows stage.Runner step by step.
type request struct {
	ins      *instance
	wsp      workspacePlan
	svc      servicePlan
	arrived  clock.Milli
	deadline clock.Milli
	prefix   uint64
	stage    int
	tries    int
	avoid    []string
	over     bool
	cur      *work
	ep       route.Endpoint
	ticket   *admit.Ticket
	sentAt   clock.Milli
}

func (req *request) run() *run              { return req.ins.run }
func (req *request) now() clock.Milli       { return req.run().tln.now }
func (req *request) pool() string           { return req.svc.stages[req.stage].pool }
func (req *request) gate() *admit.Gate      { return req.ins.gates[req.pool()] }
func (req *request) left() clock.Milli      { return req.deadline - req.now() }
func (req *request) need() *admit.Estimator { return req.ins.need(req.svc, req.stage) }
func (req *request) guess() clock.Milli     { return req.run().guess(req.pool()) }

func (req *request) bounds() retry.Bounds { return retry.BoundsFor(req.run().pol.Cost) }

func (req *request) ask(need clock.Milli) admit.Ask {
	return admit.Ask{Workspace: req.wsp.name, Share: req.wsp.weight, Priority: req.svc.priority, Deadline: req.deadline, Estimate: need}
}

// later adds up the typical needs of the stages from i on.
func (req *request) later(i int) clock.Milli {
	sum := clock.Milli(0)
	for ; i < len(req.svc.stages); i++ {
		ned, guess := req.ins.need(req.svc, i), req.run().guess(req.svc.stages[i].pool)
		if req.run().pol.Mean {
			sum += ned.Mean(guess, req.now())
		} else {
			sum += ned.Upper(guess, req.now())
		}
	}
	return sum
}

func (req *request) begin() {
	req.run().tln.after(req.svc.deadline, req.expire)
	if req.run().pol.Admission {
		wait := clock.Milli(0)
		for i := range req.svc.stages {
			wait += req.ins.gates[req.svc.stages[i].pool].Queue().EstimateWait(req.ask(0))
		}
		if wait+req.later(0) > req.left() {
			req.end("deadline_too_short")
			return
		}
	}
	req.enter()
}

// enter begins a stage.
func (req *request) enter() {
	req.tries, req.avoid = 0, nil
	req.gate().RecordAttempt()
	req.acquire()
}

func (req *request) acquire() {
	where := route.Ask{Avoid: req.avoid}
	if req.svc.stages[req.stage].prefix {
		where.Prefix = req.prefix
	}
	ep, tkt, ans := req.gate().Enter(where, req.ask(req.later(req.stage)), req.now(), func(ep route.Endpoint, word admit.Outcome) {
		req.ticket = nil
		switch word {
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
	if req.over {
		req.gate().Finish(ep.ID, route.Cancelled, 0, req.now())
		return
	}
	rnn := req.run()
	req.tries++
	req.ep, req.sentAt = ep, req.now()
	wrk := &work{}
	if req.svc.stages[req.stage].prefix {
		wrk.prefix = req.prefix
	}
	req.cur = wrk
	wrk.done = func(ok bool, engine clock.Milli) { req.answered(wrk, ok, engine) }
	switch {
	case wrk.prefix != 0:
		rnn.tln.after(max(stall, patience*req.ins.first.Upper(stall/4, req.now())), func() { req.stalled(wrk) })
	case req.tries < req.bounds().Attempts():
		allow := max(minPatience, patience*req.need().Upper(req.guess(), req.now()))
		rnn.tln.after(allow, func() { req.impatient(wrk) })
	}
	for _, srv := range rnn.pools[req.pool()] {
		if srv.id == ep.ID {
			rnn.res.attempts++
			srv.take(wrk)
		}
	}
}

// answered is told of the end of the present attempt.
func (req *request) answered(wrk *work, ok bool, engine clock.Milli) {
	took := req.now() - req.sentAt
	req.run().res.cost(req.pool(), engine)
	req.cur = nil
	if !ok {
		req.run().res.waste(engine)
		req.gate().Finish(req.ep.ID, route.Failure, took, req.now())
		req.again()
		return
	}
	req.gate().Finish(req.ep.ID, route.Success, took, req.now())
	if !req.run().scn.stale {
		req.gate().Pool().Report(req.ep.ID, wrk.srv.load(), req.now())
	}
	if wrk.srv.leaving {
		req.gate().Pool().Leave(req.ep.ID)
	}
	req.need().Sample(took, req.now())
	if wrk.prefix != 0 {
		req.ins.first.Sample(wrk.began-req.sentAt, req.now())
	}
	req.run().res.spent(req, engine)
	req.stage++
	if req.stage == len(req.svc.stages) {
		req.end("")
		return
	}
	req.enter()
}

// impatient gives an attempt up that outlasts its allowance.
func (req *request) impatient(wrk *work) {
	if req.over || req.cur != wrk || wrk.over {
		return
	}
	req.giveUp(route.Overload)
	req.need().Sample(req.now()-req.sentAt, req.now())
	req.again()
}

// stalled looks whether a generation gives tokens, again and again.
func (req *request) stalled(wrk *work) {
	if req.over || req.cur != wrk || wrk.over {
		return
	}
	if wrk.busy && !wrk.srv.frozen {
		req.run().tln.after(stall, func() { req.stalled(wrk) })
		return
	}
	req.giveUp(route.Failure)
	req.again()
}

// giveUp cancels the present attempt and counts what it has cost.
func (req *request) giveUp(ver route.Outcome) {
	cost := req.cur.cancel()
	req.cur = nil
	req.run().res.cost(req.pool(), cost)
	req.run().res.waste(cost)
	req.gate().Finish(req.ep.ID, ver, req.now()-req.sentAt, req.now())
}

func (req *request) again() {
	if req.tries >= req.bounds().Attempts() && req.run().pol.Bounded || !req.gate().TakeRetry(req.bounds()) {
		req.end("stage_failed")
		return
	}
	req.run().res.retries++
	req.avoid = append(req.avoid, req.ep.ID)
	req.acquire()
}

// expire ends a request whose deadline has passed.
func (req *request) expire() {
	if req.over {
		return
	}
	if req.ticket != nil {
		req.gate().Queue().Leave(req.ticket)
	}
	if req.cur != nil {
		req.giveUp(route.Overload)
	}
	req.end("deadline_passed")
}

func (req *request) end(reason string) {
	if req.over {
		return
	}
	req.over = true
	req.run().res.ended(req, reason)
}
