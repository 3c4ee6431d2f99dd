package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

const (
	// refusalsMore is how many endpoints beyond the route's attempts may be asked
	// after one gave its word that it ran nothing.
	refusalsMore = 2
	// waitShare of the goal is how long a full pool is waited for: longer, and a
	// refusal now is worth more to the caller than one later.
	waitShare = 8
	// waitStep is how often a full pool is looked at.
	waitStep = 5 * time.Millisecond
	// fetchFor is how long after a request was written its engine has to fetch what
	// it takes: it does so at its next step, some milliseconds later, and the largest
	// results take a few more on their way. Held until the first event, they took room that
	// other pieces waited for.
	fetchFor = 60 * time.Millisecond
	// keptWhole bounds an answer that is read whole before it is handed on, in
	// bytes.
	keptWhole = 1 << 20
)

// final sends the request to an endpoint, and to another one where nothing ran or
// the route allows a repeat.
func (fr *Front) final(ctx context.Context, cl *call) outcm.Result {
	if !fr.stillAllowed(cl) {
		return notHonoured()
	}
	if fr.isQuarantined(cl) {
		return fr.quarantined(cl)
	}
	fr.pools.Sent(cl.pool.Name())
	run := &running{fr: fr, cl: cl, after: cl.ask.After}
	if !cl.route.Resumable() {
		run.after = ""
	}
	defer run.giveUpNext()
	for {
		tgt, res := run.place(ctx)
		if res.Outcome() != outcm.Pending {
			return run.last(res)
		}
		res, again := run.attempt(ctx, tgt)
		switch {
		case again:
			run.failed = res
		case run.kept != nil && res.Outcome() != outcm.Done && !cl.out.begun:
			// The kept answer of an endpoint tells the caller more than a failure of ours.
			return run.last(res)
		default:
			return res
		}
	}
}

// running is a final call on its way through its attempts.
type running struct {
	fr    *Front
	cl    *call
	avoid []string
	// ran is how many endpoints may have run it, refused how many gave their
	// word that they didn't.
	ran     int
	refused int
	// paid tells that the attempt was ended for its time, and the next one paid for; next is
	// where that one goes.
	paid bool
	next *homes.Seat
	// after is the last event that the caller has of a stream.
	after string
	// failed is what the attempt before ended with; kept is a whole failure of
	// an endpoint's that is handed on if no other one does better.
	failed outcm.Result
	kept   *kept
}

// kept is an endpoint's answer that was read whole.
type kept struct {
	rsp  *relay.Response
	body []byte
}

// place finds an endpoint; a full pool is waited for a moment.
func (run *running) place(ctx context.Context) (homes.Seat, outcm.Result) {
	fr, cl := run.fr, run.cl
	if next := run.next; next != nil {
		run.next = nil
		return *next, outcm.Result{}
	}
	until := fr.set.Clock.Now() + max(cl.due-cl.arrived, 0)/waitShare
	for {
		ask := cl.want(run.avoid)
		ask.Zone, ask.Bytes = cl.pull()
		if tgt, ok := fr.homes.Place(ctx, fr.set.Control.View(), cl.pool.Name(), cl.ticket(), ask); ok {
			return tgt, outcm.Result{}
		}
		if len(run.avoid) > 0 || ctx.Err() != nil || fr.set.Clock.Now() >= until {
			return homes.Seat{}, outcm.Refuse(outcm.QueueFull, fr.comeBack(soonest), "all endpoints are full")
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
		}
	}
}

// finish notes the end of an attempt.
func (run *running) finish(tgt homes.Seat, ver route.Verdict, took clock.Milli) {
	fr, cl := run.fr, run.cl
	if tgt.Ticket == "" {
		fr.pools.Finish(cl.pool.Name(), tgt.ID, ver, took)
		return
	}
	end := place.Ill
	switch ver {
	case route.Good:
		end = place.Well
	case route.Neutral:
		end = place.Untold
	}
	fr.homes.End(cl.pool.Name(), tgt, end, cl.pause)
}

// last gives the end of a request for which no further endpoint was found.
func (run *running) last(res outcm.Result) outcm.Result {
	if run.kept != nil {
		if run.cl.out.whole(run.kept.rsp, run.kept.body) != nil {
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left")
		}
		return outcm.OK()
	}
	if run.failed.Outcome() != outcm.Pending {
		return run.failed
	}
	return res
}

// attempt sends the request once. It tells whether another endpoint may be tried;
// the result then is what the caller gets if there is none.
func (run *running) attempt(ctx context.Context, tgt homes.Seat) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	cl.attempts++
	cl.endpoint = string(tgt.ID)
	run.avoid = append(run.avoid, string(tgt.ID))
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer fr.pools.Watch(cl.pool.Name(), tgt.ID, cancel)()
	began := fr.set.Clock.Now()
	rqs, stop := fr.releasing(cl, tgt)
	defer stop()
	rqs.Allowed = func() bool { return fr.stillAllowed(cl) && !fr.isQuarantined(cl) }
	var ovt overtime
	hurry := run.hurry(actx, &ovt, cancel)
	rsp, end := fr.set.Relay.Do(actx, tgt.Addr, rqs, talk.Send{
		Endpoint: tgt.ID, Workspace: cl.wsp, Left: cl.until - began, Priority: cl.rank, Inputs: cl.inputs, Fetch: tgt.From, After: run.after,
	})
	hurry.Stop()
	outlasted := ovt.settle()
	run.paid = outlasted
	took := fr.set.Clock.Since(began)
	if outlasted || end == ending.Answered {
		// What outlasted its time counts too: were it left out, a pool that turns slow
		// as a whole would be asked twice for each request, against its old times.
		fr.firsts.sample(cl.route.Name(), took, fr.set.Clock.Now())
	}
	if rsp != nil {
		defer func() { _ = rsp.Body.Close() }()
		fr.pools.Said(cl.pool.Name(), tgt.ID, rsp.Reply)
	}
	if outlasted && end == ending.Answered {
		// Its connection was ended as the answer began.
		end = ending.GaveUp
	}
	if end == ending.Answered {
		fr.pools.Began(cl.route.Name(), took)
		fr.homes.First(cl.pool.Name(), tgt, took)
		cl.first = took
		return run.answer(ctx, tgt, rsp, began)
	}
	run.finish(tgt, end.Verdict(outlasted), took)
	if end == ending.Cut {
		fr.wasCut(cl, tgt)
	}
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("endpoint", string(tgt.ID)).Str("pool", cl.pool.Name()).Int("attempt", cl.attempts).
		Str("ending", end.String()).Bool("outlasted", outlasted).Int64("took_ms", int64(took)).Msg("attempt failed")
	if rsp != nil && rsp.Reply.Misdirected {
		fr.set.Control.Left(tgt.ID, "another endpoint answers at its address")
	}
	return run.judge(ctx, end)
}

// releasing gives the request with a hook that gives back what it takes, once the
// engine has had time to fetch it, and what ends the hook.
//
// A result takes room at its maker until it is given back. Held until the first event,
// it takes room while the engine reads the prompt, some hundred milliseconds; in a
// burst all room is taken by results that were fetched long ago, and makers stand
// idle. An engine whose places are all taken fetches later, and would find nothing; it
// says then that it ran nothing, and the caller comes back. So the hook is left out
// for such an engine, as far as its last word tells.
func (fr *Front) releasing(cl *call, tgt homes.Seat) (relay.Request, func()) {
	rqs := cl.req
	if len(cl.inputs) == 0 || tgt.Full {
		return rqs, func() {}
	}
	ended := make(chan struct{})
	rqs.Written = func() {
		go func() {
			select {
			case <-time.After(fetchFor):
				fr.giveBack(cl, allStages)
			case <-ended:
			}
		}()
	}
	return rqs, func() { close(ended) }
}

// judge tells what an attempt without an answer means, and whether there may be
// another one.
func (run *running) judge(ctx context.Context, end ending.Ending) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if end.RanNothing() {
		run.refused++
	} else {
		run.ran++
	}
	res := run.resultOf(end)
	switch {
	case ctx.Err() != nil:
		return res, false
	case !end.RanNothing() && !cl.route.Repeatable(), len(cl.inputs) > 0 && !cl.holds():
		// It must not run twice, or what it takes has been given back.
		return res, false
	case run.ran >= cl.route.Attempts() || run.ran+run.refused >= cl.route.Attempts()+refusalsMore:
		return res, false
	case fr.isQuarantined(cl) && run.ran == 0:
		return fr.quarantined(cl), false
	case !fr.stillAllowed(cl) && run.ran == 0:
		return notHonoured(), false
	case !fr.stillAllowed(cl) || fr.isQuarantined(cl) || cl.trial && run.ran > 0:
		return res, false
	case end.Sent() && !run.paid && !fr.pools.Repeat(cl.pool.Name(), fr.set.Control.View()):
		return res, false
	}
	fr.set.Meter.Retried(end.Cause())
	return res, true
}

// resultOf gives the result of an ending after which nothing more is tried. Once
// any attempt may have run, "not run" can't be said any more.
func (run *running) resultOf(end ending.Ending) outcm.Result {
	fr, cl := run.fr, run.cl
	passed := fr.set.Clock.Now() >= cl.until
	switch {
	case run.ran == 0 && passed:
		return outcm.Refuse(outcm.DeadlinePassed, soonest, "no endpoint took it in time")
	case run.ran == 0:
		return outcm.Refuse(outcm.NoEndpoint, fr.comeBack(soonest), "the endpoints that were asked ran nothing: "+end.String())
	case passed:
		return outcm.New(outcm.Unknown, outcm.DeadlinePassed, "the time is up; it may have run")
	case end == ending.Foreign || end == ending.Unsigned:
		return outcm.New(outcm.Unknown, outcm.WrongAttempt, "the endpoint's answer was not to this request; it may have run")
	}
	return outcm.New(outcm.Unknown, outcm.ConnectionCut, "the endpoint's connection was cut; it may have run")
}

// answer hands an endpoint's answer on.
func (run *running) answer(ctx context.Context, tgt homes.Seat, rsp *relay.Response, began clock.Milli) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if cl.route.Streams() && rsp.Status == http.StatusOK {
		// The engine has fetched what it takes. A stream that breaks off can't
		// go on elsewhere without it, but room is what bounds the stages:
		// results that were held to the stream's end kept others waiting.
		fr.giveBack(cl, allStages)
		return run.stream(ctx, tgt, rsp, began)
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, keptWhole+1))
	took := fr.set.Clock.Since(began)
	switch {
	case err != nil:
		return run.broken(ctx, tgt, took)
	case len(body) > keptWhole:
		run.finish(tgt, route.Good, took)
		return run.large(rsp, body)
	}
	fr.ranWhole(cl, rsp)
	run.finish(tgt, statusVerdict(rsp.Status), took)
	if rsp.Status >= http.StatusInternalServerError && cl.route.Repeatable() && !cl.out.begun {
		run.kept = &kept{rsp: rsp, body: body}
		if res, again := run.judge(ctx, ending.Cut); again {
			return res, true
		}
	}
	if cl.out.begun {
		// A stream that was to go on elsewhere got a failure in its place.
		return outcm.New(outcm.Unknown, outcm.StreamCut, "the stream could not be resumed"), false
	}
	if cl.out.whole(rsp, body) != nil {
		return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left"), false
	}
	return outcm.OK(), false
}

// broken ends an attempt whose answer broke off.
func (run *running) broken(ctx context.Context, tgt homes.Seat, took clock.Milli) (outcm.Result, bool) {
	end := ending.Broken(ctx)
	run.finish(tgt, end.Verdict(false), took)
	if end == ending.Cut {
		run.fr.wasCut(run.cl, tgt)
	}
	return run.judge(ctx, end)
}

// large hands on an answer that is too long to be kept.
func (run *running) large(rsp *relay.Response, body []byte) (outcm.Result, bool) {
	out := run.cl.out
	out.head(rsp, int(rsp.Length))
	for {
		if out.write(body) != nil {
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left"), false
		}
		n, err := rsp.Body.Read(body[:cap(body)])
		body = body[:n]
		if errors.Is(err, io.EOF) {
			run.fr.ranWhole(run.cl, rsp)
			if out.write(body) != nil {
				return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left"), false
			}
			return outcm.OK(), false
		}
		if err != nil {
			return outcm.New(outcm.Unknown, outcm.ConnectionCut, "the answer was cut"), false
		}
	}
}

func statusVerdict(status int) route.Verdict {
	if status >= http.StatusInternalServerError {
		return route.Broken
	}
	return route.Good
}

// stream hands on the events of a stream as they come. What broke off goes on at
// another endpoint after the last whole event, if the route allows that, under the
// head of the first one.
func (run *running) stream(ctx context.Context, tgt homes.Seat, rsp *relay.Response, began clock.Milli) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if !cl.out.begun {
		cl.out.head(rsp, -1)
		if cl.out.ctl.Flush() != nil {
			run.finish(tgt, route.Neutral, 0)
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left"), false
		}
	}
	evs := relay.NewEvents(rsp.Body)
	last := fr.set.Clock.Now()
	for {
		event, err := evs.Next()
		now := fr.set.Clock.Now()
		cl.pause, last = max(cl.pause, now-last), now
		if errors.Is(err, io.EOF) {
			fr.ranWhole(cl, rsp)
			run.finish(tgt, route.Good, fr.set.Clock.Since(began))
			return outcm.OK(), false
		}
		if err != nil {
			break
		}
		if cl.out.write(event) != nil {
			run.finish(tgt, route.Neutral, 0)
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller left"), false
		}
		if name, ok := fr.set.Dialect.EventName(event); ok {
			run.after = name
		}
	}
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("endpoint", string(tgt.ID)).Str("after", run.after).Msg("stream cut")
	res, again := run.broken(ctx, tgt, fr.set.Clock.Since(began))
	if again {
		fr.set.Meter.Retried(retry.Resumed)
	}
	return res, again
}
