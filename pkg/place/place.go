package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/pace"
)

const (
	// reportHalfLife is the age in milliseconds at which the load reported by an engine counts
	// half.
	reportHalfLife = 500.0
	// failuresToEject consecutive failures eject an engine for minEject, doubled with each further
	// one up to maxEject.
	failuresToEject = 2
	minEject        = clock.Second
	maxEject        = 8 * clock.Second
	// defaultStreamMs is the duration of a stream per token of its limit, in milliseconds, before
	// any was measured; streamMsWeight is the weight of a new measurement.
	defaultStreamMs = 2.0
	streamMsWeight  = 0.05
	// rejectPause is how long a brittle engine gets no request after it has rejected one: those that
	// are on their way may be rejected as well.
	rejectPause = clock.Second
	// sizeWeight is the weight of a new request in the mean size.
	sizeWeight = 0.01
	// runTTL is how long a request without a recorded end is counted: the message that reports the
	// end was lost, or its sender crashed.
	runTTL = 30 * clock.Second
)

// Engine is a model engine.
type Engine struct {
	// ID identifies one process of the engine, from start to exit.
	ID      string
	Addr    string
	Zone    string
	Leaving bool
	// Withheld is set while the engine must be sent nothing. Unlike Leaving, a later Sync takes it back.
	Withheld bool
	// Build is the build of the engine's software, empty if it is unknown.
	Build string
	// Slots is the number of concurrent requests, Memory the tokens that these and the prefix
	// cache share; zero for no bound.
	Slots  int
	Memory int
	// Fetches reports whether it can fetch cached parts from other engines.
	Fetches bool
}

// run is a request at an engine.
type run struct {
	ticket string
	eng    *engine
	prompt Prompt
	// readTokens is the number of uncached tokens of the prompt, readMs the expected time to read
	// them at the engine's usual pace.
	readTokens int
	readMs     float64
	// streaming is set by its first event.
	streaming bool
	// uncontended is set while no other prompt was waiting or being read at the engine since it was
	// sent there.
	uncontended bool
	// overlapTokens is the length of the longest prompt read at the engine since its first event.
	overlapTokens int
	sentAt        clock.Milli
	firstAt       clock.Milli
}

// engine is the state of an engine.
type engine struct {
	Engine
	// idHash is the hash of its ID.
	idHash uint64
	// runs are the known requests, in the order in which they were sent.
	runs []*run
	// foreignRuns are requests that the engine reported beyond these, at reportedAt.
	foreignRuns float64
	reportedAt  clock.Milli
	// headSince is when it began to read the first run that is not streaming.
	headSince clock.Milli
	cache     prefixCache
	// disruptions is how often prompts arrive that make its streams late.
	disruptions frequency
	slow        slowness
	// pace is what the engine reports of its machine; slow excludes it.
	pace         pace.Pace
	failures     int
	ejectedUntil clock.Milli
	probing      bool
	// rejectedAt is when it last rejected a request for lack of room.
	rejectedAt clock.Milli
}

// Placer is the placer of a pool of engines. The zero value is an empty pool. It is not safe for
// concurrent use.
type Placer struct {
	list []*engine
	byID map[string]*engine
	runs map[string]*run
	// firstEvent is the time to the first event by uncached tokens, from uncontended requests;
	// pauses is the longest pause of a stream by the longest prompt read beside it.
	firstEvent curve
	pauses     curve
	// streamMs is the mean duration of streams per token of their limit, in milliseconds.
	streamMs float64
	// meanSize is the mean size of requests.
	meanSize float64
	// brittle is set if engines fall over when they reject many requests.
	brittle bool
}

// Sync replaces the list of engines; the state of those that remain is kept. An engine once marked
// as leaving stays so.
func (plc *Placer) Sync(list []Engine) {
	byID := make(map[string]*engine, len(list))
	all := make([]*engine, 0, len(list))
	for _, eng := range list {
		cur, ok := plc.byID[eng.ID]
		if !ok {
			cur = &engine{idHash: xxhash.Sum64String(eng.ID)}
		}
		leaving := cur.Leaving || eng.Leaving
		cur.Engine = eng
		cur.Leaving = leaving
		byID[eng.ID] = cur
		all = append(all, cur)
	}
	plc.list, plc.byID = all, byID
}

// SetBrittle sets whether engines fall over when they reject many requests. They are then sent no more
// than they run at a time, and nothing for rejectPause after a rejection.
func (plc *Placer) SetBrittle(brittle bool) { plc.brittle = brittle }

// Len returns the number of engines.
func (plc *Placer) Len() int { return len(plc.list) }

// Find returns an engine by its ID.
func (plc *Placer) Find(id string) (Engine, bool) {
	eng, ok := plc.byID[id]
	if !ok {
		return Engine{}, false
	}
	return eng.Engine, true
}

// Usable reports whether an engine is known, not leaving, not withheld and not ejected.
func (plc *Placer) Usable(id string, now clock.Milli) bool {
	eng, ok := plc.byID[id]
	return ok && !eng.Leaving && !eng.Withheld && now >= eng.ejectedUntil
}

// Full reports whether all slots of an engine are in use, as far as known from the requests placed
// here and the reported load.
func (plc *Placer) Full(id string, now clock.Milli) bool {
	eng, ok := plc.byID[id]
	return ok && eng.Slots > 0 && eng.streams(now) >= float64(eng.Slots)
}

// Waits reports whether a request would wait at an engine for a slot or for memory, as far as known.
func (plc *Placer) Waits(id string, now clock.Milli) bool {
	eng, ok := plc.byID[id]
	return ok && eng.isFull(now)
}

// Ejected lists the engines that get no requests for their failures, and those that are to be probed.
func (plc *Placer) Ejected() []string {
	var list []string
	for _, eng := range plc.list {
		if eng.ejectedUntil > 0 {
			list = append(list, eng.ID)
		}
	}
	return list
}

// PauseEnd returns the time at which a brittle engine gets requests again that has rejected one; false if it
// has not, or gets them.
func (plc *Placer) PauseEnd(id string, now clock.Milli) (at clock.Milli, ok bool) {
	eng, ok := plc.byID[id]
	if !ok || !plc.brittle || eng.rejectedAt == 0 || now-eng.rejectedAt >= rejectPause {
		return 0, false
	}
	return eng.rejectedAt + rejectPause, true
}

// Begin records that a request was sent to an engine; ticket identifies it in later calls. gap is
// the maximum gap of streams there.
func (plc *Placer) Begin(id, ticket string, prm Prompt, gap, now clock.Milli) {
	eng, ok := plc.byID[id]
	if !ok {
		return
	}
	read := max(prm.InTokens-eng.cache.prefixTokens(prm, eng.Memory), 1)
	rn := &run{ticket: ticket, eng: eng, prompt: prm, readTokens: read, readMs: plc.usualReadTime(eng, read, now), sentAt: now, uncontended: true}
	for _, oth := range eng.runs {
		if !oth.streaming {
			oth.uncontended, rn.uncontended = false, false
		}
	}
	if rn.uncontended {
		eng.headSince = now
	}
	if plc.disrupts(eng, prm, gap, now) {
		eng.disruptions.record(now)
	}
	if plc.meanSize == 0 {
		plc.meanSize = prm.size()
	}
	plc.meanSize += sizeWeight * (prm.size() - plc.meanSize)
	eng.runs = append(eng.runs, rn)
	eng.probing = eng.ejectedUntil > 0
	eng.cache.add(prm.shared(), read+prm.MaxOutTokens)
	if plc.runs == nil {
		plc.runs = map[string]*run{}
	}
	plc.runs[ticket] = rn
}

// FirstEvent records the first event of a request, and its time since the request was sent.
func (plc *Placer) FirstEvent(ticket string, took, now clock.Milli) {
	rn, ok := plc.runs[ticket]
	if !ok || rn.streaming {
		return
	}
	rn.streaming, rn.firstAt = true, now
	rn.eng.headSince = now
	for _, oth := range rn.eng.runs {
		if oth.streaming && oth != rn {
			oth.overlapTokens = max(oth.overlapTokens, rn.prompt.InTokens)
		}
	}
	if !rn.uncontended {
		return
	}
	atUsual := float64(took) / rn.eng.pace.Factor(now)
	if usual := plc.firstEvent.at(rn.readTokens, 0); usual > 0 {
		rn.eng.slow.sample(atUsual/usual, now)
	}
	plc.firstEvent.sample(rn.readTokens, atUsual)
}

// Ending is how a request at an engine ended.
type Ending int

// Endings of a request.
const (
	// Succeeded: the engine answered.
	Succeeded Ending = iota
	// Failed: the engine failed the request.
	Failed
	// Neutral: the ending says nothing about the engine's health.
	Neutral
	// Rejected: the engine had no room for the request.
	Rejected
)

// End records the end of a request, and the longest pause between events of its answer.
func (plc *Placer) End(ticket string, end Ending, pause, now clock.Milli) {
	rn, ok := plc.runs[ticket]
	if !ok {
		return
	}
	eng := rn.eng
	plc.remove(rn, now)
	eng.probing = false
	if end == Succeeded {
		eng.failures, eng.ejectedUntil = 0, 0
		if rn.streaming && rn.prompt.MaxOutTokens > 0 {
			plc.streamMs = plc.msPerOutToken() + streamMsWeight*(float64(now-rn.firstAt)/float64(rn.prompt.MaxOutTokens)-plc.msPerOutToken())
		}
		if rn.overlapTokens > 0 && pause > 0 {
			// The pace at the time of the pause is not known: it may have been at any time of the stream.
			plc.pauses.sample(rn.overlapTokens, float64(pause)/eng.slow.current(now))
		}
	}
	if end == Rejected {
		eng.rejectedAt = now
	}
	if end != Failed && end != Rejected {
		return
	}
	eng.fail(now)
}

// fail counts a failure of an engine, and ejects it after several in a row.
func (eng *engine) fail(now clock.Milli) {
	if eng.failures++; eng.failures >= failuresToEject {
		eng.ejectedUntil = now + min(minEject<<min(eng.failures-failuresToEject, 5), maxEject)
	}
}

// MarkFailed records that an engine failed a query, as [Placer.End] does for a failed request.
func (plc *Placer) MarkFailed(id string, now clock.Milli) {
	if eng, ok := plc.byID[id]; ok {
		eng.fail(now)
	}
}

func (plc *Placer) remove(rn *run, now clock.Milli) {
	delete(plc.runs, rn.ticket)
	rn.eng.runs = slices.DeleteFunc(rn.eng.runs, func(oth *run) bool { return oth == rn })
	if !rn.streaming {
		rn.eng.headSince = now
	}
}

// expire removes requests whose end was not recorded within runTTL.
func (plc *Placer) expire(now clock.Milli) {
	for _, rn := range plc.runs {
		if now-rn.sentAt > runTTL {
			plc.remove(rn, now)
		}
	}
}

// ReportCached records the parts that an engine reports as cached.
func (plc *Placer) ReportCached(id string, parts []Part) {
	if eng, ok := plc.byID[id]; ok {
		eng.cache.add(parts, 0)
	}
}

// ReportLoad records the load that an engine reports: the running and waiting requests of all
// instances.
func (plc *Placer) ReportLoad(id string, load int, now clock.Milli) {
	if eng, ok := plc.byID[id]; ok {
		eng.foreignRuns, eng.reportedAt = max(0, float64(load-len(eng.runs))), now
	}
}

// ReportPace records how long work takes at an engine. A figure older than the last one is ignored. The
// figure that came with a first event is recorded before [Placer.FirstEvent].
func (plc *Placer) ReportPace(id string, fig pace.Figure) {
	if eng, ok := plc.byID[id]; ok {
		eng.pace.Report(fig)
	}
}

// Pace returns by how much the reported pace of an engine scales its expected times, in percent; 100 without
// a report.
func (plc *Placer) Pace(id string, now clock.Milli) int {
	if eng, ok := plc.byID[id]; ok {
		return eng.pace.Percent(now)
	}
	return pace.Usual
}

// EngineOf returns the ID of the engine that a request was sent to; false if the request is unknown.
func (plc *Placer) EngineOf(ticket string) (id string, ok bool) {
	rn, ok := plc.runs[ticket]
	if !ok {
		return "", false
	}
	return rn.eng.ID, true
}

// Leave marks an engine as leaving.
func (plc *Placer) Leave(id string) {
	if eng, ok := plc.byID[id]; ok {
		eng.Leaving = true
	}
}

// msPerOutToken returns the duration of a stream per token of its limit.
func (plc *Placer) msPerOutToken() float64 {
	if plc.streamMs == 0 {
		return defaultStreamMs
	}
	return plc.streamMs
}

// relativeSize returns the size of a request divided by the mean.
func (plc *Placer) relativeSize(prm Prompt) float64 {
	if plc.meanSize == 0 {
		return 1
	}
	return min(prm.size()/plc.meanSize, maxRelativeSize)
}

// relativeSizeAt returns the sum of the relative sizes of the requests at an engine. Those known
// only from the engine's report count as of mean size.
func (plc *Placer) relativeSizeAt(eng *engine, now clock.Milli) float64 {
	sum := eng.streams(now) - float64(len(eng.runs))
	for _, rn := range eng.runs {
		sum += plc.relativeSize(rn.prompt)
	}
	return sum
}

// streams returns the number of requests at an engine, reported ones weighted by age.
func (eng *engine) streams(now clock.Milli) float64 {
	age := float64(max(now-eng.reportedAt, 0))
	return float64(len(eng.runs)) + eng.foreignRuns*reportHalfLife/(reportHalfLife+age)
}

// queueTime returns how long a prompt that arrives now waits until the engine starts to read it. A
// first prompt that is overdue by some time is expected to take that time again: otherwise an
// engine that accepts prompts and starts none would look idle.
func (eng *engine) queueTime(now clock.Milli) float64 {
	sum, first := 0.0, true
	factor := eng.pace.Factor(now)
	for _, rn := range eng.runs {
		if rn.streaming {
			continue
		}
		if first {
			since := float64(now - eng.headSince)
			read := factor * rn.readMs
			sum, first = max(read-since, since-read), false
			continue
		}
		sum += factor * rn.readMs
	}
	return sum
}

// memoryNeed returns the largest number of tokens that the requests at an engine may need in
// memory.
func (eng *engine) memoryNeed() int {
	sum := 0
	for _, rn := range eng.runs {
		sum += rn.prompt.InTokens + rn.prompt.MaxOutTokens
	}
	return sum
}
