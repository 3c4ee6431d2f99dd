// Package retry implements retry budgets, retry rules and backoff.
//
// Retries amplify load: if a stage fails half of its requests, each instance, each
// client library and each stage above it adds half as many requests again. A [Budget]
// limits the retries of a pool to a share of its first attempts, whatever the failures:
// each first attempt deposits a fraction, each retry withdraws one. When the budget is
// empty the failure is returned at once, with a retry-after delay.
//
// [Allowed] decides whether work may be retried at all: only if nothing ran or the
// operation is idempotent.
package retry

import (
	"math/rand/v2"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause is the reason for a retry; each has a counter.
type Cause int

// Causes of retries.
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

// Causes returns all causes, for the counters.
func Causes() []Cause {
	return []Cause{NothingSent, Refused, Cut, WrongAnswer, Resumed, Hedged, ReadConflict, InputLost}
}

// Defaults of a budget.
const (
	// DefaultShare is the number of retries that a first attempt adds to the budget.
	DefaultShare = 0.1
	// defaultReserve is the capacity in retries, so that a pool under low load can retry
	// at all.
	defaultReserve = 10.0
)

// Bounds limit the retries of one stage of one request.
type Bounds struct {
	attempts int
	idle     bool
}

// Attempts returns the maximum number of attempts, including the first.
func (bnd Bounds) Attempts() int { return bnd.attempts }

// Idle reports whether retries beyond the budget are allowed at a pool with spare
// capacity.
func (bnd Bounds) Idle() bool { return bnd.idle }

// BoundsFor returns the bounds of a service that favours low cost, or else attainment of
// its targets. With a stage that fails half of its calls, favouring attainment costs a few
// per cent more endpoint time, see docs/MEASUREMENTS.md.
func BoundsFor(favourCost bool) Bounds {
	if favourCost {
		return Bounds{attempts: 3}
	}
	return Bounds{attempts: 5, idle: true}
}

// Budget is the retry budget of one pool at one instance, a token bucket that first
// attempts refill. The zero value is a full budget with the default share and reserve.
// It is not safe for concurrent use.
type Budget struct {
	spent   float64
	share   float64
	reserve float64
}

// NewBudget returns a full budget with a capacity of reserve retries, to which each
// first attempt adds share; zeros select the defaults. In any period there are at most
// reserve retries plus share times the first attempts in it.
func NewBudget(share, reserve float64) Budget { return Budget{share: share, reserve: reserve} }

// SetReserve changes the capacity. The total for a pool is divided among its instances,
// whose number changes.
func (bdg *Budget) SetReserve(reserve float64) { bdg.reserve = reserve }

// CountAttempt records a first attempt, which refills the budget by its share.
func (bdg *Budget) CountAttempt() {
	share := bdg.share
	if share == 0 {
		share = DefaultShare
	}
	bdg.spent = max(0, bdg.spent-share)
}

// Take withdraws one retry and reports whether the budget allowed it.
func (bdg *Budget) Take() bool {
	limit := bdg.reserve
	if limit == 0 {
		limit = defaultReserve
	}
	if bdg.spent+1 > limit {
		return false
	}
	bdg.spent++
	return true
}

// Allowed reports whether work may be retried: nothing of it ran, or it is idempotent.
func Allowed(ranNothing, nonIdempotent bool) bool {
	return ranNothing || !nonIdempotent
}

// Backoff returns a retry-after delay with exponential backoff: base, doubled with each
// earlier refusal up to 32 times base. Jitter over the upper half keeps callers that
// were refused together from retrying together.
func Backoff(base clock.Milli, earlier int, rng *rand.Rand) clock.Milli {
	span := base << min(max(earlier, 0), 5)
	if span < 2 {
		return span
	}
	return span/2 + clock.Milli(rng.Int64N(int64(span/2)))
}

// Jittered returns a retry-after delay with jitter, from base to twice base, so that
// callers that were refused together don't retry together.
func Jittered(base clock.Milli) clock.Milli {
	return Backoff(2*base, 0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
