package soak

import (
	"net/http"
	"strings"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	// settleTime is the time after a fault from which guarantees with a time bound apply again to
	// an instance.
	settleTime = 3 * time.Second
	// applyBound is the time after which a document must be in force, drainBound that after which
	// a leaving endpoint gets no new requests. Both include a margin for the transfer of a
	// request.
	applyBound = 2500 * time.Millisecond
	drainBound = 2700 * time.Millisecond
	// regressionSlack is how much later a request must be sent for an older version to count as a
	// step back.
	regressionSlack = 250 * time.Millisecond
	// sendSlack covers the transfer of a request to its endpoint.
	sendSlack = 500 * time.Millisecond
	// signalSlack is the time within which a process has certainly received the signal of its
	// shutdown.
	signalSlack = 100 * time.Millisecond
	// shutdownReserve is the part of its shutdown timeout that a process may use for its own end.
	shutdownReserve = 500 * time.Millisecond
)

// promisesNotRun reports whether a status guarantees that the request has not run and will not
// run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// check checks one answer against the guarantees that need no knowledge of other requests.
func (sr *soakRun) check(att *attempt) {
	if att.err != nil {
		// An instance whose callers were cut off while the request waited can't answer it.
		if att.ended.Sub(att.sent) >= att.deadline+answerGrace && att.steady && att.undisturbed {
			sr.checkUnanswered(att)
		}
		return
	}
	sig := att.header.Get(fake.HeaderSignature)
	switch {
	case att.status >= 200 && att.status < 300:
		if sig != "sig-"+att.id || !att.isCorrect() && !att.mayBeUnproven() {
			sr.violation("mixed: %s at %s got signature %q and body %q", att.id, att.ins.name, sig, att.answer)
		}
	case sig != "":
		if att.status != http.StatusInternalServerError {
			sr.violation("mixed: %s at %s got status %d with the signature of an endpoint", att.id, att.ins.name, att.status)
		}
	case promisesNotRun(att.status) && strings.Contains(att.answer, quarantined):
		sr.checkQuarantine(att)
	case promisesNotRun(att.status) && att.resumes != nil && refusesBuild(att.answer):
	case promisesNotRun(att.status):
		if att.header.Get("Retry-After") == "" {
			sr.violation("refusal: %s at %s got status %d without Retry-After", att.id, att.ins.name, att.status)
		}
	case att.status < 500:
		sr.checkDenial(att)
	}
}

// checkUnanswered records a violation for a request that reached its instance and was not
// answered in time. A request whose connection was blackholed before it was sent cannot have
// reached the instance; it counts only with countAllUnanswered.
func (sr *soakRun) checkUnanswered(att *attempt) {
	rec := att.ins.frontProxy.lookup(att.localAddr)
	lost := rec.lost(att.dialedAt, att.sent)
	sr.note("unanswered: %s at %s, lost on the way to the instance: %t; %s", att.id, att.ins.name, lost, rec.describe(att.sent))
	if !lost || sr.countAllUnanswered {
		sr.violation("unanswered: %s at %s was not answered within %v after its deadline", att.id, att.ins.name, answerGrace)
	}
}

// isCorrect reports whether the body is the complete answer to this request.
func (att *attempt) isCorrect() bool {
	if att.stream {
		return fake.WithoutBuilds(att.answer) == eventsAfter(att.after)
	}
	return strings.HasPrefix(att.answer, "answer of ") && strings.HasSuffix(att.answer, " to "+att.id)
}

// checkDenial checks that a request which all versions of the document allow is never denied.
func (sr *soakRun) checkDenial(att *attempt) {
	sr.mtx.Lock()
	_, revoked := sr.revoked[att.key]
	sr.mtx.Unlock()
	if att.version > 0 || revoked {
		return
	}
	// The second key may be denied until all instances have the new document.
	if att.key == permanentKey {
		sr.violation("denied: %s at %s got status %d: %s", att.id, att.ins.name, att.status, att.answer)
	}
}

// checkAll checks what the endpoints ran against what was requested and answered.
func (sr *soakRun) checkAll() {
	runs := map[string][]fake.Run{}
	for _, ep := range sr.eps {
		for _, run := range ep.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			sr.checkRun(ep, run)
		}
	}
	for _, att := range sr.order {
		ran := runs[att.id]
		att.runs = len(ran)
		if att.atMostOnce && len(ran) > 1 {
			sr.violation("twice: %s ran %d times, the second time at %s", att.id, len(ran), ran[1].Endpoint)
		}
		if att.err == nil && promisesNotRun(att.status) && att.header.Get(fake.HeaderSignature) == "" && len(ran) > 0 {
			sr.violation("refused: %s was refused with status %d by %s and ran at %s", att.id, att.status, att.ins.name, ran[0].Endpoint)
		}
		sr.checkCutOff(att, ran)
		sr.checkFraming(att, ran)
	}
	sr.checkVersions()
	sr.checkPoison()
	sr.checkParts()
	sr.checkRates()
	sr.checkPartitions()
	sr.checkBrittle()
	sr.checkStreams()
}

// checkRun checks one execution against its request.
func (sr *soakRun) checkRun(ep *endpoint, run fake.Run) {
	att, ok := sr.attempts[run.ID]
	if !ok {
		sr.violation("not sent: %s ran %q, which no caller sent", ep.ID(), run.ID)
		return
	}
	if run.Method != att.method || run.Target != att.path || run.Body != att.body {
		sr.violation("not sent: %s ran %s as %s %s with body %q, which its caller did not send", ep.ID(), run.ID, run.Method, run.Target, run.Body)
	}
	if run.Header.Get(fake.HeaderTenant) != workspace || run.Header.Get(fake.HeaderAuthorize) != "" {
		sr.violation("not sent: %s ran %s for workspace %q, API key forwarded: %v", ep.ID(), run.ID, run.Header.Get(fake.HeaderTenant), run.Header.Get(fake.HeaderAuthorize) != "")
	}
	if at, revoked := sr.revoked[att.key]; revoked && att.sent.Sub(at) > sr.params.tokenMaxViewAge {
		sr.violation("revoked: %s was sent to %s %v after its key was revoked, and ran", att.id, att.ins.name, att.sent.Sub(at))
	}
	if !ep.drainedAt.IsZero() && run.At.Sub(ep.drainedAt) > drainBound && att.steady {
		sr.violation("drain: %s got %s from %s %v after its entry was marked as leaving", ep.ID(), att.id, att.ins.name, run.At.Sub(ep.drainedAt))
	}
}

// checkCutOff checks that a planned shutdown cuts off no request that was forwarded to
// undisturbed endpoints. A request sent after the process received the signal is refused in time
// or answered completely, however long that takes; an earlier one may be cut off only if its
// answer outlasts the shutdown timeout.
func (sr *soakRun) checkCutOff(att *attempt, ran []fake.Run) {
	shutdownAt := att.ins.shutdownTime(att.incarnation)
	if !att.outcomeLost() || !att.undisturbed || att.partitioned || shutdownAt.IsZero() || shutdownAt.After(att.ended) || len(ran) == 0 || att.ended.Sub(att.sent) >= att.deadline {
		return
	}
	var answeredBy time.Time
	for _, run := range ran {
		if run.Fault != fake.None || sr.endpointDisturbed(run.Endpoint, att.sent) {
			return
		}
		answeredBy = laterOf(answeredBy, run.At.Add(att.answerTime))
	}
	if afterSignal := att.sent.Sub(shutdownAt); afterSignal > signalSlack {
		sr.violation("cut off: %s, route %s, answer time %v, was sent to %s %v after the shutdown signal and cut off %v after it: status %d, %v",
			att.id, att.route, att.answerTime, att.ins.name, afterSignal, att.ended.Sub(shutdownAt), att.status, att.err)
		return
	}
	if answeredBy.Before(shutdownAt.Add(att.ins.shutdownTimeout - shutdownReserve)) {
		sr.violation("cut off: %s, route %s, answer time %v, at %s, was sent %v before the shutdown signal: status %d, %v",
			att.id, att.route, att.answerTime, att.ins.name, shutdownAt.Sub(att.sent), att.status, att.err)
	}
}

// outcomeLost reports that the caller got neither a complete answer nor a guarantee that the
// request did not run.
func (att *attempt) outcomeLost() bool {
	return att.err != nil || att.status >= http.StatusInternalServerError && !promisesNotRun(att.status) && att.header.Get(fake.HeaderSignature) == ""
}

// endpointDisturbed reports whether an endpoint was disturbed after the given time or shortly
// before it.
func (sr *soakRun) endpointDisturbed(id string, at time.Time) bool {
	for _, ep := range sr.eps {
		if ep.ID() == id {
			return ep.gone || !ep.drainedAt.IsZero() || at.Sub(ep.disturbedUntil) < settleTime
		}
	}
	return true
}

// checkVersions checks that versions of the document come into force in time, and that no process
// goes back to an earlier one.
func (sr *soakRun) checkVersions() {
	type process struct {
		ins         *instance
		incarnation int
	}
	seen := map[process]*attempt{}
	for _, att := range sr.order {
		if att.version == 0 || att.err != nil {
			continue
		}
		sr.checkInForce(att)
		if att.status != http.StatusOK {
			continue
		}
		prc := process{att.ins, att.incarnation}
		highest := seen[prc]
		if highest != nil && att.version < highest.version && att.sent.Sub(highest.ended) > regressionSlack {
			sr.violation("regression: %s served version %d %v after version %d", att.ins.name, att.version, att.sent.Sub(highest.ended), highest.version)
		}
		if highest == nil || att.version > highest.version {
			seen[prc] = att
		}
	}
}

func (sr *soakRun) checkInForce(att *attempt) {
	if !att.steady {
		return
	}
	minVersion, maxVersion := 0, 0
	for _, ver := range sr.docs {
		if att.sent.Sub(ver.publishedAt) > applyBound {
			minVersion = ver.version
		}
		if ver.publishedAt.Before(att.ended) {
			maxVersion = ver.version
		}
	}
	if att.status == http.StatusOK && att.version < minVersion {
		sr.violation("documents: %s served version %d while %d had to be in force", att.ins.name, att.version, minVersion)
	}
	if att.status == http.StatusNotFound && att.version == minVersion && minVersion == maxVersion {
		sr.violation("documents: %s did not know version %d, which had to be in force", att.ins.name, minVersion)
	}
}
