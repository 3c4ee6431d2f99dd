package soak

import (
	"net/http"
	"strings"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	// settleFor is how long after a trouble an instance is held to promises with
	// a time bound.
	settleFor = 3 * time.Second
	// applyFor is the time after which a document must be in force, drainFor that
	// after which a leaving endpoint gets nothing new; both with a margin for the
	// way of a request.
	applyFor = 2500 * time.Millisecond
	drainFor = 2700 * time.Millisecond
	// backFor is how much later a request must be sent for an older version to
	// count as a step back.
	backFor = 250 * time.Millisecond
	// sentSlack covers a request's way to its endpoint.
	sentSlack = 500 * time.Millisecond
	// heardFor is the time in which a process hears for certain that it is to stop.
	heardFor = 100 * time.Millisecond
	// stopLeft is what a process may leave of a stop's time for its own end.
	stopLeft = 500 * time.Millisecond
)

// promise tells whether a status promises that nothing ran and nothing will.
func promise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// judge holds one answer against the promises that can be judged at once.
func (wld *world) judge(att *attempt) {
	if att.err != nil {
		if att.ended.Sub(att.sent) >= att.deadline+patience && att.calm {
			wld.judgeHeld(att)
		}
		return
	}
	sig := att.header.Get(fake.HeaderSignature)
	switch {
	case att.status >= 200 && att.status < 300:
		if sig != "sig-"+att.id || !att.right() {
			wld.breaks("mixed: %s at %s got signature %q and %q", att.id, att.ins.name, sig, att.answer)
		}
	case sig != "":
		if att.status != http.StatusInternalServerError {
			wld.breaks("mixed: %s at %s got %d with an endpoint's signature", att.id, att.ins.name, att.status)
		}
	case promise(att.status) && strings.Contains(att.answer, quarantined):
		wld.judgeQuarantine(att)
	case promise(att.status):
		if att.header.Get("Retry-After") == "" {
			wld.breaks("refusal: %s at %s got %d without when to come back", att.id, att.ins.name, att.status)
		}
	case att.status < 500:
		wld.judgeDenial(att)
	}
}

// judgeHeld: a request that reached its instance is answered in time. One whose connection
// had been made silent for good before it was sent can't have reached it; it counts only
// where all that are held count.
func (wld *world) judgeHeld(att *attempt) {
	rec := att.ins.front.find(att.from)
	lost := rec.swallowed(att.dialled, att.sent)
	wld.note("held: %s at %s, lost on its way %t: %s", att.id, att.ins.name, lost, rec.tell(att.sent))
	if !lost || wld.heldAll {
		wld.breaks("held: %s at %s had no answer %v after its deadline", att.id, att.ins.name, patience)
	}
}

// right tells whether the body is the whole answer to this request.
func (att *attempt) right() bool {
	if att.stream {
		return att.answer == wholeStream
	}
	return strings.HasPrefix(att.answer, "answer of ") && strings.HasSuffix(att.answer, " to "+att.id)
}

// judgeDenial: what all versions allow is never denied.
func (wld *world) judgeDenial(att *attempt) {
	wld.mtx.Lock()
	_, revoked := wld.revoked[att.key]
	wld.mtx.Unlock()
	if att.number > 0 || revoked {
		return
	}
	// A key that is not yet known everywhere may be denied for a moment.
	if att.key == mainKey {
		wld.breaks("denied: %s at %s got %d: %s", att.id, att.ins.name, att.status, att.answer)
	}
}

// judgeAll holds what the endpoints ran against what was asked and answered.
func (wld *world) judgeAll() {
	runs := map[string][]fake.Run{}
	for _, ep := range wld.eps {
		for _, run := range ep.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			wld.judgeRun(ep, run)
		}
	}
	for _, att := range wld.order {
		ran := runs[att.id]
		att.runs = len(ran)
		if att.once && len(ran) > 1 {
			wld.breaks("twice: %s ran %d times, last at %s", att.id, len(ran), ran[1].Endpoint)
		}
		if att.err == nil && promise(att.status) && att.header.Get(fake.HeaderSignature) == "" && len(ran) > 0 {
			wld.breaks("refused: %s was told %d by %s and ran at %s", att.id, att.status, att.ins.name, ran[0].Endpoint)
		}
		wld.judgeCut(att, ran)
	}
	wld.judgeVersions()
	wld.judgeDeadly()
	wld.judgeRates()
}

// judgeRun holds one run against the request that it belongs to.
func (wld *world) judgeRun(ep *endpoint, run fake.Run) {
	att, ok := wld.attempts[run.ID]
	if !ok {
		wld.breaks("unasked: %s ran %q", ep.ID(), run.ID)
		return
	}
	if run.Method != att.method || run.Target != att.path || run.Body != att.body {
		wld.breaks("unasked: %s ran %s as %s %s %q", ep.ID(), run.ID, run.Method, run.Target, run.Body)
	}
	if run.Header.Get(fake.HeaderTenant) != workspace || run.Header.Get(fake.HeaderAuthorize) != "" {
		wld.breaks("unasked: %s ran %s for workspace %q, key passed on: %v", ep.ID(), run.ID, run.Header.Get(fake.HeaderTenant), run.Header.Get(fake.HeaderAuthorize) != "")
	}
	if at, taken := wld.revoked[att.key]; taken && att.sent.Sub(at) > tokensFor {
		wld.breaks("revoked: %s was sent to %s %v after its key was taken away, and ran", att.id, att.ins.name, att.sent.Sub(at))
	}
	if !ep.drained.IsZero() && run.At.Sub(ep.drained) > drainFor && att.calm {
		wld.breaks("drain: %s got %s from %s %v after it said it leaves", ep.ID(), att.id, att.ins.name, run.At.Sub(ep.drained))
	}
}

// judgeCut: a planned stop cuts nothing off that was passed on to an endpoint that is
// well. What was sent after the process heard of the stop is refused in time or answered
// whole, however long that takes; what was sent before may be cut off only if its
// answer lasts beyond the stop.
func (wld *world) judgeCut(att *attempt, ran []fake.Run) {
	asked := att.ins.askedAt(att.life)
	if !att.lost() || !att.quiet || asked.IsZero() || asked.After(att.ended) || len(ran) == 0 || att.ended.Sub(att.sent) >= att.deadline {
		return
	}
	var whole time.Time
	for _, run := range ran {
		if run.Fault != fake.None || wld.disturbed(run.Endpoint, att.sent) {
			return
		}
		whole = later(whole, run.At.Add(att.lasts))
	}
	if late := att.sent.Sub(asked); late > heardFor {
		wld.breaks("cut off: %s, a %s of %v, was sent to %s %v after it was asked to stop, and lost %v after it: %d, %v",
			att.id, att.route, att.lasts, att.ins.name, late, att.ended.Sub(asked), att.status, att.err)
		return
	}
	if whole.Before(asked.Add(att.ins.stop - stopLeft)) {
		wld.breaks("cut off: %s, a %s of %v, at %s, which was asked to stop %v after: %d, %v",
			att.id, att.route, att.lasts, att.ins.name, asked.Sub(att.sent), att.status, att.err)
	}
}

// lost tells that the caller got no whole answer, and no word that nothing ran.
func (att *attempt) lost() bool {
	return att.err != nil || att.status >= http.StatusInternalServerError && !promise(att.status) && att.header.Get(fake.HeaderSignature) == ""
}

// disturbed tells whether something was done to an endpoint after an instant or shortly
// before.
func (wld *world) disturbed(id string, at time.Time) bool {
	for _, ep := range wld.eps {
		if ep.ID() == id {
			return ep.gone || !ep.drained.IsZero() || at.Sub(ep.troubled) < settleFor
		}
	}
	return true
}

// judgeVersions: documents are in force in time, and no process goes back.
func (wld *world) judgeVersions() {
	type process struct {
		ins  *instance
		life int
	}
	seen := map[process]*attempt{}
	for _, att := range wld.order {
		if att.number == 0 || att.err != nil {
			continue
		}
		wld.judgeInForce(att)
		if att.status != http.StatusOK {
			continue
		}
		prc := process{att.ins, att.life}
		high := seen[prc]
		if high != nil && att.number < high.number && att.sent.Sub(high.ended) > backFor {
			wld.breaks("back: %s served version %d %v after version %d", att.ins.name, att.number, att.sent.Sub(high.ended), high.number)
		}
		if high == nil || att.number > high.number {
			seen[prc] = att
		}
	}
}

func (wld *world) judgeInForce(att *attempt) {
	if !att.calm {
		return
	}
	least, last := 0, 0
	for _, ver := range wld.docs {
		if att.sent.Sub(ver.at) > applyFor {
			least = ver.number
		}
		if ver.at.Before(att.ended) {
			last = ver.number
		}
	}
	if att.status == http.StatusOK && att.number < least {
		wld.breaks("documents: %s served version %d while %d had to be in force", att.ins.name, att.number, least)
	}
	if att.status == http.StatusNotFound && att.number == least && least == last {
		wld.breaks("documents: %s didn't know version %d", att.ins.name, least)
	}
}
