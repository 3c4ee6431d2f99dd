package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	// resumableRoute is the route whose streams may be resumed.
	resumableRoute = "stream"
	// Runs that draw from at least buildsFromKinds kinds have engines of several builds, whose streams last
	// between minStreamTime and maxStreamTime and are resumed by their callers, in maxResumes tries at most.
	buildsFromKinds = 23
	minStreamTime   = 100 * time.Millisecond
	maxStreamTime   = 1200 * time.Millisecond
	maxResumes      = 3
	// Of minResumed or more streams that are taken up at steady instances, not partitioned from all endpoints,
	// while enoughEngines engines of their build serve, the share that goes on is at least resumedShare of the
	// share of new streams that begin.
	minResumed    = 12
	enoughEngines = 2
	resumedShare  = 0.5
	// mostMixed is the number of streams that may hold events of several builds.
	mostMixed = 0
)

// stream is a stream of the resumable route over its caller's tries.
type stream struct {
	first  *attempt
	builds []string
	// counts is set if it was taken up at a steady instance while enough engines of its build served, goesOn
	// if it was resumed there.
	counts, goesOn bool
	// tried is set if it was taken up at any instance that answered, wentOn if it was resumed at any.
	tried, wentOn bool
}

// hasBuilds reports whether engines are of several builds.
func (sr *soakRun) hasBuilds() bool { return sr.faultKinds >= buildsFromKinds }

// buildFor returns the build of a new endpoint; sr.mtx must be held.
func (sr *soakRun) buildFor(pool string) string {
	if !sr.hasBuilds() || pool != "engines" {
		return "v1"
	}
	return fmt.Sprintf("v1.%d", sr.lastBuild)
}

// rollOutBuild replaces the engines one after the other by others of a new build, or in one case of four of
// the build before.
func (sr *soakRun) rollOutBuild() {
	back := sr.drawInt(4) == 0
	sr.mtx.Lock()
	if sr.lastBuild++; back && sr.lastBuild > 1 {
		sr.lastBuild -= 2
	}
	sr.mtx.Unlock()
	for _, ep := range sr.servingEndpoints("engines") {
		sr.addEndpoint("engines")
		go sr.drain(ep)
		time.Sleep(sr.drawDuration(minGap, maxGap/2))
	}
}

// enginesOf returns the number of serving engines of a build.
func (sr *soakRun) enginesOf(build string) int {
	count := 0
	for _, ep := range sr.servingEndpoints("engines") {
		if ep.build == build {
			count++
		}
	}
	return count
}

// eventsAfter returns the events of a stream after the given one.
func eventsAfter(after int) string {
	events := strings.SplitAfter(fullStream, "\n\n")
	return strings.Join(events[after:], "")
}

// wholeEvents returns the number of whole events of a part of a stream, and their builds.
func wholeEvents(answer string) (count int, builds []string) {
	at := strings.LastIndex(answer, "\n\n")
	if at < 0 {
		return 0, nil
	}
	whole := answer[:at+2]
	return strings.Count(whole, "\n\n"), fake.Builds(whole)
}

// runStream sends a request for a stream, and takes it up at random instances as long as it breaks off.
func (clr *caller) runStream(att *attempt) *attempt {
	sr := clr.sr
	if att.answerTime == 0 {
		att.answerTime = drawBetween(clr.rng, minStreamTime, maxStreamTime)
	}
	stm := &stream{first: clr.do(att)}
	after := stm.add(att, 0)
	sr.mtx.Lock()
	sr.streams = append(sr.streams, stm)
	sr.mtx.Unlock()
	for range maxResumes {
		if after == 0 || att.err == nil && att.status == http.StatusOK || time.Since(stm.first.sent) >= stm.first.deadline {
			break
		}
		enough := sr.enginesOf(stm.builds[0]) >= enoughEngines
		att = &attempt{requestKind: stm.first.requestKind, key: stm.first.key, ins: sr.insts[clr.rng.IntN(len(sr.insts))], deadline: stm.first.deadline, answerTime: stm.first.answerTime, resumes: stm, after: after}
		clr.do(att)
		goesOn := att.status == http.StatusOK && att.err == nil
		before := after
		after = stm.add(att, after)
		stm.tried, stm.wentOn = stm.tried || promisesOrServes(att), stm.wentOn || goesOn || after > before
		if enough && sr.enginesOf(stm.builds[0]) >= enoughEngines && att.steady && att.undisturbed && !att.partitioned && promisesOrServes(att) {
			stm.counts = true
			stm.goesOn = stm.goesOn || goesOn || after > before
		}
		if stm.counts && !stm.goesOn {
			sr.note("stream %s, build %s, event %d, is not resumed at %s: %d, %s", stm.first.id, stm.builds[0], before, att.ins.name, att.status, att.answer)
		}
	}
	return stm.first
}

// promisesOrServes reports whether an attempt ended in a way that tells whether the stream goes on.
func promisesOrServes(att *attempt) bool {
	return att.status == http.StatusOK || promisesNotRun(att.status)
}

// add adds the whole events of an attempt, and returns the last event.
func (stm *stream) add(att *attempt, after int) int {
	if att.status != http.StatusOK {
		return after
	}
	count, builds := wholeEvents(att.answer)
	stm.builds = append(stm.builds, builds...)
	return after + count
}

// refusesBuild reports whether a request was refused since its stream can't go on at its build.
func refusesBuild(answer string) bool {
	return strings.Contains(answer, "build_unknown") || strings.Contains(answer, "build_gone")
}

// checkStreams checks that no stream holds events of several builds, and that those that callers take up go on.
func (sr *soakRun) checkStreams() {
	if !sr.hasBuilds() {
		return
	}
	fresh, begun, resumed, goesOn, tried, wentOn, mixed := 0, 0, 0, 0, 0, 0, 0
	for _, stm := range sr.streams {
		if stm.first.steady {
			fresh++
			if len(stm.builds) > 0 {
				begun++
			}
		}
		if stm.counts {
			resumed++
			if stm.goesOn {
				goesOn++
			}
		}
		if stm.tried {
			tried++
		}
		if stm.wentOn {
			wentOn++
		}
		if list := slices.Compact(slices.Sorted(slices.Values(stm.builds))); len(list) > 1 {
			mixed++
			sr.note("stream %s holds events of builds %v", stm.first.id, stm.builds)
		}
	}
	text := fmt.Sprintf("%d of %d new streams begin, %d of %d that are taken up go on, %d of %d at any instance, %d hold events of several builds", begun, fresh, goesOn, resumed, wentOn, tried, mixed)
	sr.note("%s", text)
	if mixed > mostMixed || resumed >= minResumed && float64(goesOn)*float64(max(fresh, 1)) < resumedShare*float64(begun)*float64(resumed) {
		sr.violation("streams: %s", text)
	}
}
