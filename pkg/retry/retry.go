// Package retry bounds the work that is done again.
//
// Retries multiply: a stage that fails half its requests is sent half as many
// again by each instance, by each caller's library and by each stage above. A
// [Budget] keeps the retries of one pool to a share of its first attempts,
// whatever fails: each first attempt pays in a part, each retry takes out a
// whole. When the budget is empty the failure is passed on at once, with a span
// after which to come back.
//
// Whether a piece of work may be done again at all is decided by [Allowed]: only
// when nothing ran, or when running it again has no effect.
package retry

import (
	"math/rand/v2"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause tells why work was done again; each has a counter.
type Cause int

// The causes.
const (
	NothingSent  Cause = iota // nothing_sent
	Refused                   // refused
	Cut                       // cut
	WrongAnswer               // wrong_answer
	Resumed                   // resumed
	Hedged                    // hedged
	ReadConflict              // read_conflict
	InputLost                 // input_lost
)

// Causes lists all causes, for the counters.
func Causes() []Cause {
	return []Cause{NothingSent, Refused, Cut, WrongAnswer, Resumed, Hedged, ReadConflict, InputLost}
}

// Shares of a budget.
const (
	// Share is how many retries a first attempt pays for.
	Share = 0.1
	// reserve is how many retries a budget holds when it has been idle, so
	// that a pool with little load can retry at all.
	reserve = 10.0
)

// Bounds are the bounds of one stage of one request.
type Bounds struct {
	attempts int
	idle     bool
}

// Attempts gives how many attempts there may be in all.
func (bnd Bounds) Attempts() int { return bnd.attempts }

// Idle tells whether a retry beyond the budget is allowed at a pool that has
// room to spare.
func (bnd Bounds) Idle() bool { return bnd.idle }

// For gives the bounds of a service whose owner weighs cost, or attainment. With
// a stage that fails half of its calls, attainment costs some per cent more
// endpoint time, see docs/MEASUREMENTS.md.
func For(weighsCost bool) Bounds {
	if weighsCost {
		return Bounds{attempts: 3}
	}
	return Bounds{attempts: 5, idle: true}
}

// Budget is the retry budget of one pool at one instance. The zero value is
// full. It is not safe for concurrent use.
type Budget struct {
	spent   float64
	share   float64
	reserve float64
}

// NewBudget returns a full budget in which each first attempt pays for a share of
// a retry, and which holds as many as reserve; zeros stand for the package's own.
// In any span there are at most reserve retries and a share of the first attempts
// in it.
func NewBudget(share, most float64) Budget { return Budget{share: share, reserve: most} }

// SetReserve changes how many retries the budget holds: instances come and go, and
// what all of them may do is divided among them.
func (bdg *Budget) SetReserve(most float64) { bdg.reserve = most }

// First notes a first attempt.
func (bdg *Budget) First() {
	share := bdg.share
	if share == 0 {
		share = Share
	}
	bdg.spent = max(0, bdg.spent-share)
}

// Take asks for one retry.
func (bdg *Budget) Take() bool {
	most := bdg.reserve
	if most == 0 {
		most = reserve
	}
	if bdg.spent+1 > most {
		return false
	}
	bdg.spent++
	return true
}

// Allowed tells whether work may be done again: nothing of it ran, or running
// it again has no effect.
func Allowed(ranNothing, nonIdempotent bool) bool {
	return ranNothing || !nonIdempotent
}

// After gives a span to come back after: base, doubled with each earlier
// refusal up to a bound, and spread over its upper half so that those refused
// together don't return together.
func After(base clock.Milli, earlier int, rng *rand.Rand) clock.Milli {
	span := base << min(max(earlier, 0), 5)
	if span < 2 {
		return span
	}
	return span/2 + clock.Milli(rng.Int64N(int64(span/2)))
}

// Spread gives a span to come back after that lies anywhere from base to twice as much,
// so that those refused together don't return together.
func Spread(base clock.Milli) clock.Milli {
	return After(2*base, 0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
