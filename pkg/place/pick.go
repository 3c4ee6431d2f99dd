package place

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

// Components of the cost of an engine, in milliseconds unless noted.
const (
	// defaultFixedMs and defaultMsPerToken give the time to the first event before any was
	// measured: a few decoding steps, and fifty tokens read per millisecond.
	defaultFixedMs    = 20.0
	defaultMsPerToken = 0.02
	// streamDelayFactor times the time to read a prompt is the delay of each stream at the engine.
	streamDelayFactor = 0.2
	// pauseCost is the loss of a stream of mean size that is late for a pause, a fraction of its
	// time so far. For other streams it scales with their size, up to maxRelativeSize times the
	// mean; with a uniform loss the largest tenth of the answers were late most often.
	pauseCost       = 600.0
	maxRelativeSize = 4.0
	// pauseMargin times the maximum gap is the longest mean pause that a prompt may cause. With
	// 0.75 there was often no engine at which a long prompt stayed within the bound, and long
	// prompts were late themselves.
	pauseMargin = 0.9
	// disruptionFactor weights the pauses that a stream may expect at an engine. A stream at an
	// engine that reads long prompts would be late, and would also leave the next long prompt
	// without an engine that has no streams.
	disruptionFactor = 4.0
	// fetchFactor times the time to read a prefix is the cost of fetching it from another engine;
	// rereadFactor times that time is the extra cost, in engine time and memory, of reading it
	// again. Fetching takes a few milliseconds, so that load decides the placement. With a high
	// cost of fetching, prompts would stay on few engines.
	fetchFactor  = 2.0
	rereadFactor = 4.0
	// remoteCostPerMB is the cost of a megabyte of results fetched from another data centre.
	remoteCostPerMB = 100.0
	// minFetchTokens is the least number of further tokens cached elsewhere for which they are
	// fetched: the set-up of a fetch takes as long as reading so many.
	minFetchTokens = 100
	// bytesPerMB is a decimal megabyte, the unit of link rates.
	bytesPerMB = 1e6
)

// Ask is a request to place a prompt.
type Ask struct {
	Prompt Prompt `cbor:"1,keyasint"`
	// Salt spreads prompts without shared parts.
	Salt string `cbor:"2,keyasint,omitempty"`
	// Avoid lists the engines already tried.
	Avoid []string `cbor:"3,keyasint,omitempty"`
	// Zone is the data centre that holds results which the engine will fetch, and Bytes their size.
	Zone  string `cbor:"4,keyasint,omitempty"`
	Bytes int64  `cbor:"5,keyasint,omitempty"`
	// MaxGap is the maximum gap between events, zero for no bound.
	MaxGap clock.Milli `cbor:"6,keyasint,omitempty"`
	// Share is the part of the slots of brittle engines that may be used, of which one always may;
	// zero for all of them.
	Share float64 `cbor:"7,keyasint,omitempty"`
	// Build is the build that engines must have; empty for any.
	Build string `cbor:"8,keyasint,omitempty"`
}

// fits reports whether an engine has the build that is asked for.
func (ask Ask) fits(eng Engine) bool { return ask.Build == "" || eng.Build == ask.Build }

// Placement is the placement of a prompt.
type Placement struct {
	Engine Engine
	// FetchAddr is the address of another engine from which cached parts of the prompt may be
	// fetched; empty if there is none.
	FetchAddr string
	// Wait is the time until the engine starts to read the prompt, Read the time to read it,
	// Streams the number of requests at the engine, and CachedTokens the number of the prompt's
	// tokens that it has cached. The choice depends on them.
	Wait         clock.Milli
	Read         clock.Milli
	Streams      int
	CachedTokens int
	// Ejected is the number of engines of the pool that are ejected.
	Ejected int
	// Pace is by how much the engine's pace scaled the times, in percent; 100 without a report.
	Pace int
}

// evaluation is an [Ask] with the values derived from it that are common to all engines.
type evaluation struct {
	Ask
	// mostCached is the largest number of the prompt's tokens cached at any engine, and cachedAt
	// that engine.
	mostCached int
	cachedAt   *engine
	// fetchable has the same by build: engines fetch cached parts only from those of their build.
	fetchable map[string]cachedPrefix
	// preferred ranks first by rendezvous hashing of the shared parts.
	preferred *engine
	// msPerToken is the time to read a token.
	msPerToken float64
	// streamMs is the expected duration of the stream.
	streamMs float64
	now      clock.Milli
}

// cachedPrefix is the largest number of a prompt's tokens that an engine has cached.
type cachedPrefix struct {
	tokens int
	at     *engine
}

// Pick chooses an engine for a prompt; it returns false if there is none. It does not reserve a
// slot: see [Placer.Begin].
func (plc *Placer) Pick(ask Ask, now clock.Milli) (Placement, bool) {
	plc.expire(now)
	open := plc.available(ask, now)
	if len(open) == 0 {
		return Placement{}, false
	}
	evl := plc.evaluate(ask, open, now)
	best, least := open[0], math.Inf(1)
	for _, eng := range open {
		if cost := plc.cost(eng, evl); cost < least {
			best, least = eng, cost
		}
	}
	return plc.placement(best, evl), true
}

func (plc *Placer) countEjected(now clock.Milli) int {
	count := 0
	for _, eng := range plc.list {
		if eng.isEjected(now) {
			count++
		}
	}
	return count
}

// isEjected reports whether an engine gets no requests for its failures: it is not probed yet, or a
// probe is in progress.
func (eng *engine) isEjected(now clock.Milli) bool {
	return now < eng.ejectedUntil || eng.ejectedUntil > 0 && eng.probing
}

func (plc *Placer) placement(eng *engine, evl evaluation) Placement {
	cached := evl.cachedBy(eng)
	plm := Placement{
		Engine: eng.Engine, Wait: clock.Milli(eng.queueTime(evl.now)), Read: clock.Milli(plc.readTime(eng, evl.Prompt.InTokens-cached, evl.now)),
		Streams: int(eng.streams(evl.now)), CachedTokens: cached, Ejected: plc.countEjected(evl.now),
		Pace: eng.pace.Percent(evl.now),
	}
	if pfx := evl.fetchable[eng.Build]; eng.Fetches && pfx.at != nil && pfx.at != eng && pfx.tokens >= cached+minFetchTokens {
		plm.FetchAddr = pfx.at.Addr
	}
	return plm
}

// evaluate derives the values common to all engines. If no engine is known to have a part of the
// prompt cached, the preferred one is assumed to have the prefix: a previous placer may have sent
// it there.
func (plc *Placer) evaluate(ask Ask, open []*engine, now clock.Milli) evaluation {
	evl := evaluation{
		Ask: ask, now: now,
		msPerToken: plc.firstEvent.slope(defaultMsPerToken), streamMs: float64(ask.Prompt.MaxOutTokens) * plc.msPerOutToken(),
	}
	name := ask.Prompt.Key()
	if name == "" {
		name = ask.Salt
	}
	hash := xxhash.Sum64String(name)
	evl.fetchable = map[string]cachedPrefix{}
	for _, eng := range open {
		cached := eng.cache.prefixTokens(evl.Prompt, eng.Memory)
		if cached > evl.mostCached {
			evl.mostCached, evl.cachedAt = cached, eng
		}
		if cached > evl.fetchable[eng.Build].tokens {
			evl.fetchable[eng.Build] = cachedPrefix{tokens: cached, at: eng}
		}
		if evl.preferred == nil || rendezvousRank(hash, eng.idHash) > rendezvousRank(hash, evl.preferred.idHash) {
			evl.preferred = eng
		}
	}
	if evl.cachedAt == nil {
		evl.mostCached, evl.cachedAt = ask.Prompt.Shared(), evl.preferred
		evl.fetchable[evl.preferred.Build] = cachedPrefix{tokens: evl.mostCached, at: evl.preferred}
	}
	return evl
}

// cachedBy returns the number of the prompt's tokens that an engine has cached.
func (evl evaluation) cachedBy(eng *engine) int {
	if eng == evl.cachedAt {
		return evl.mostCached
	}
	return eng.cache.prefixTokens(evl.Prompt, eng.Memory)
}

// cost returns the cost of a prompt at an engine. Ties go to the preferred engine, so that prompts
// without shared parts are spread.
func (plc *Placer) cost(eng *engine, evl evaluation) float64 {
	cached := evl.cachedBy(eng)
	read := plc.readTime(eng, evl.Prompt.InTokens-cached, evl.now)
	streams := eng.streams(evl.now)
	cost := eng.queueTime(evl.now) + read + streamDelayFactor*read*streams
	if plc.disrupts(eng, evl.Prompt, evl.MaxGap, evl.now) {
		cost += pauseCost * plc.relativeSizeAt(eng, evl.now)
	} else {
		cost += pauseCost * plc.relativeSize(evl.Prompt) * min(disruptionFactor*eng.disruptions.expect(evl.streamMs, evl.now), 1)
	}
	fetched := 0
	if eng.Fetches {
		fetched = max(evl.fetchable[eng.Build].tokens-cached, 0)
	}
	cost += evl.msPerToken * (fetchFactor*float64(fetched) + rereadFactor*float64(evl.mostCached-cached-fetched))
	if evl.Zone != "" && eng.Zone != evl.Zone {
		cost += remoteCostPerMB * float64(evl.Bytes) / bytesPerMB
	}
	if eng != evl.preferred {
		cost++
	}
	return cost
}

// disrupts reports whether streams of an engine would exceed the maximum gap while it reads a
// prompt, by the measured pauses.
func (plc *Placer) disrupts(eng *engine, prm Prompt, gap, now clock.Milli) bool {
	return gap > 0 && plc.pauses.at(prm.InTokens, 0)*eng.slow.current(now)*eng.pace.Factor(now) > pauseMargin*float64(gap)
}

// readTime returns the time in which an engine reads a number of tokens.
func (plc *Placer) readTime(eng *engine, tokens int, now clock.Milli) float64 {
	return eng.pace.Factor(now) * plc.usualReadTime(eng, tokens, now)
}

// usualReadTime returns the time in which an engine reads a number of tokens at its usual pace.
func (plc *Placer) usualReadTime(eng *engine, tokens int, now clock.Milli) float64 {
	return eng.slow.current(now) * plc.firstEvent.at(tokens, defaultFixedMs+defaultMsPerToken*float64(tokens))
}

// available returns the engines to choose from: healthy ones with a free slot, or else healthy
// ones, or else all that are neither leaving nor withheld. Brittle engines need a free slot.
func (plc *Placer) available(ask Ask, now clock.Milli) []*engine {
	var free, full, ejected []*engine
	for _, eng := range plc.list {
		switch {
		case eng.Leaving || eng.Withheld || slices.Contains(ask.Avoid, eng.ID) || !ask.fits(eng.Engine):
		case plc.brittle && (eng.isFull(now) || eng.exceeds(ask.Share, now) || eng.rejectedAt > 0 && now-eng.rejectedAt < rejectPause):
		case eng.isEjected(now):
			ejected = append(ejected, eng)
		case eng.isFull(now):
			full = append(full, eng)
		default:
			free = append(free, eng)
		}
	}
	switch {
	case len(free) > 0:
		return free
	case len(full) > 0:
		return full
	}
	return ejected
}

// exceeds reports whether a part of an engine's slots is in use, zero for none.
func (eng *engine) exceeds(share float64, now clock.Milli) bool {
	return share > 0 && share < 1 && eng.streams(now) >= max(1, share*float64(eng.Slots))
}

// isFull reports whether all slots or all memory of an engine is in use.
func (eng *engine) isFull(now clock.Milli) bool {
	return eng.Slots > 0 && eng.streams(now) >= float64(eng.Slots) || eng.Memory > 0 && eng.memoryNeed() > eng.Memory
}

// rendezvousRank combines the hashes of a prompt and an engine by the finalizer of SplitMix64 (G.
// Steele and others, "Fast splittable pseudorandom number generators", 2014). Hashing the two names
// together for each engine took 2.5 ms with 1,600 engines.
func rendezvousRank(prompt, engine uint64) uint64 {
	val := prompt ^ engine
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
