package place

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

// What an engine costs a prompt, in milliseconds.
const (
	// guessFixed and guessToken are the time to a first event before any was measured: a
	// few steps, and fifty tokens read in a millisecond.
	guessFixed = 20.0
	guessToken = 0.02
	// delayShare of the time that a prompt is read is what each stream at the engine
	// loses by it.
	delayShare = 0.2
	// pauseCost is what a stream of mean size loses that is late for a pause, some fraction of
	// what it took so far; others lose more or less by their size, up to sizeMost times as
	// much: with all alike the largest tenth of the answers fared worst of all.
	pauseCost = 600.0
	sizeMost  = 4.0
	// pauseShare of the longest pause that is on time is what a prompt may cause by what
	// was measured, which is a mean. With 0.75 long prompts found no engine that they may
	// disturb, and were late themselves.
	pauseShare = 0.9
	// apartTimes is how many times the pauses that a stream may expect at an engine keep it
	// away from there: where long prompts are read it would not only be late, it would keep the
	// next one from finding an engine without streams.
	apartTimes = 4.0
	// fetchTimes the time to read what another engine holds is what fetching it costs, and
	// againTimes what reading it again does beyond that time, for the engine and the memory.
	// Fetching takes a few milliseconds, so that load decides where a prompt goes. Were it dear,
	// prompts would keep to a few engines.
	fetchTimes = 2.0
	againTimes = 4.0
	// farCost is what a megabyte of results costs that the engine must fetch from another data
	// centre.
	farCost = 100.0
	// fetchLeast is how many tokens another engine must hold more for them to be fetched:
	// setting it up takes as long as reading so many.
	fetchLeast = 100
	// bytesInMb is a megabyte, as links count it.
	bytesInMb = 1e6
)

// Ask is a prompt to be placed.
type Ask struct {
	Prompt Prompt `cbor:"1,keyasint"`
	// Salt spreads prompts that share nothing.
	Salt string `cbor:"2,keyasint,omitempty"`
	// Avoid lists the engines that were tried.
	Avoid []string `cbor:"3,keyasint,omitempty"`
	// Bytes of results that the engine will fetch lie in Zone.
	Zone  string `cbor:"4,keyasint,omitempty"`
	Bytes int64  `cbor:"5,keyasint,omitempty"`
	// Gap is the longest pause between events that is on time, zero for no bound.
	Gap clock.Milli `cbor:"6,keyasint,omitempty"`
}

// Seat is the engine chosen for a prompt.
type Seat struct {
	Engine Engine
	// From is the address of another engine from which it may fetch what that one holds of
	// the prompt; empty for none.
	From string
	// What the choice went by: the time until the prompt is read, the time that takes, the
	// requests at the engine, and the tokens that it holds.
	Wait    clock.Milli
	Read    clock.Milli
	Streams int
	Held    int
}

// asked is an ask with what follows from it for all engines.
type asked struct {
	Ask
	// most is the largest number of tokens of the prompt that any engine holds, and by which
	// one does.
	most int
	by   *engine
	// home is the engine that ranks first for the shared parts.
	home *engine
	// token is the time to read one token.
	token float64
	// lasts is how long the stream will probably last.
	lasts float64
	now   clock.Milli
}

// Pick chooses an engine for a prompt; false if there is none. It takes no place: see
// [Book.Begin].
func (bk *Book) Pick(ask Ask, now clock.Milli) (Seat, bool) {
	bk.forget(now)
	open := bk.open(ask.Avoid, now)
	if len(open) == 0 {
		return Seat{}, false
	}
	akd := bk.look(ask, open, now)
	best, least := open[0], math.Inf(1)
	for _, eng := range open {
		if cost := bk.cost(eng, akd); cost < least {
			best, least = eng, cost
		}
	}
	return bk.seat(best, akd), true
}

func (bk *Book) seat(eng *engine, akd asked) Seat {
	held := akd.heldBy(eng)
	seat := Seat{
		Engine: eng.Engine, Wait: clock.Milli(eng.wait(akd.now)), Read: clock.Milli(bk.takes(eng, akd.Prompt.In-held, akd.now)),
		Streams: int(eng.streams(akd.now)), Held: held,
	}
	if eng.Fetches && akd.by != nil && akd.by != eng && akd.most >= held+fetchLeast {
		seat.From = akd.by.Addr
	}
	return seat
}

// look finds what the engines' costs have in common. Where no engine is known to hold any
// of the prompt, the one that ranks first is taken to: whoever placed before may have sent
// it there.
func (bk *Book) look(ask Ask, open []*engine, now clock.Milli) asked {
	akd := asked{
		Ask: ask, now: now,
		token: bk.firsts.slope(guessToken), lasts: float64(ask.Prompt.Out) * bk.lasting(),
	}
	name := ask.Prompt.Key()
	if name == "" {
		name = ask.Salt
	}
	hash := xxhash.Sum64String(name)
	for _, eng := range open {
		if held := eng.held.tokens(akd.Prompt, eng.Memory); held > akd.most {
			akd.most, akd.by = held, eng
		}
		if akd.home == nil || mixed(hash, eng.hash) > mixed(hash, akd.home.hash) {
			akd.home = eng
		}
	}
	if akd.by == nil {
		akd.most, akd.by = ask.Prompt.Shared(), akd.home
	}
	return akd
}

// heldBy gives how many tokens of the prompt an engine holds.
func (akd asked) heldBy(eng *engine) int {
	if eng == akd.by {
		return akd.most
	}
	return eng.held.tokens(akd.Prompt, eng.Memory)
}

// cost gives what an engine costs a prompt. Of two that cost the same the one that ranks
// first is taken, so that prompts which share nothing are spread.
func (bk *Book) cost(eng *engine, akd asked) float64 {
	held := akd.heldBy(eng)
	read := bk.takes(eng, akd.Prompt.In-held, akd.now)
	streams := eng.streams(akd.now)
	cost := eng.wait(akd.now) + read + delayShare*read*streams
	if bk.disturbs(eng, akd.Prompt, akd.Gap, akd.now) {
		cost += pauseCost * bk.weightAt(eng, akd.now)
	} else {
		cost += pauseCost * bk.weight(akd.Prompt) * min(apartTimes*eng.disturbed.expect(akd.lasts, akd.now), 1)
	}
	missing := akd.token * float64(akd.most-held)
	if eng.Fetches {
		cost += fetchTimes * missing
	} else {
		cost += againTimes * missing
	}
	if akd.Zone != "" && eng.Zone != akd.Zone {
		cost += farCost * float64(akd.Bytes) / bytesInMb
	}
	if eng != akd.home {
		cost++
	}
	return cost
}

// disturbs tells whether the streams of an engine would pause for too long while it reads
// a prompt, by the pauses that were seen.
func (bk *Book) disturbs(eng *engine, prm Prompt, gap, now clock.Milli) bool {
	return gap > 0 && bk.pauses.at(prm.In, 0)*eng.slow.now(now) > pauseShare*float64(gap)
}

// takes gives the time in which an engine reads so many tokens.
func (bk *Book) takes(eng *engine, tokens int, now clock.Milli) float64 {
	return eng.slow.now(now) * bk.firsts.at(tokens, guessFixed+guessToken*float64(tokens))
}

// open lists the engines that may be taken: those that are well and have place, or, if there
// are none, those that are well, or else whatever doesn't leave.
func (bk *Book) open(avoid []string, now clock.Milli) []*engine {
	var free, well, ill []*engine
	for _, eng := range bk.list {
		switch {
		case eng.Leaving || slices.Contains(avoid, eng.ID):
		case now < eng.benched || eng.benched > 0 && eng.probing:
			ill = append(ill, eng)
		case eng.Places > 0 && eng.streams(now) >= float64(eng.Places), eng.Memory > 0 && eng.tokens() > eng.Memory:
			well = append(well, eng)
		default:
			free = append(free, eng)
		}
	}
	switch {
	case len(free) > 0:
		return free
	case len(well) > 0:
		return well
	}
	return ill
}

// mixed gives the rank of an engine for a prompt from the hashes of both, by the
// finalizer of SplitMix64 (G. Steele and others, "Fast splittable pseudorandom number
// generators", 2014). Hashing the two names together for each engine took 2.5 ms with
// 1,600 engines.
func mixed(prompt, engine uint64) uint64 {
	val := prompt ^ engine
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
