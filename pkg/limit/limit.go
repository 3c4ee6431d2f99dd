// Package limit bounds concurrency and request rates: adaptive concurrency limits for
// endpoints, limits for workspaces as the documents set them, and rates that endpoints
// declare.
//
// An endpoint's limit follows additive increase and multiplicative decrease (D.-M.
// Chiu and R. Jain, 1989), as in congestion control. A success while the limit is at
// least half used raises it slightly; an overload lowers it by a factor, at most once
// per response time, since the answers of one overload arrive together. High latency
// counts as overload only well above the best latency seen: an engine that batches
// answers more slowly as its batch fills, long before its throughput falls.
package limit

import (
	"golang.org/x/time/rate"

	"amaranthvalve/pkg/clock"
)

// Parameters of an endpoint's concurrency limit.
const (
	initialLimit = 4.0
	minLimit     = 1.0
	maxLimit     = 256.0
	// overloadFactor is the decrease factor after a refusal or a timeout, inflatedFactor
	// that after an answer with inflated latency.
	overloadFactor = 0.7
	inflatedFactor = 0.9
	// inflatedRatio is the multiple of the best latency above which an answer counts as
	// an overload. A full batch takes up to 1.5 times as long as an empty one; at
	// twice the best latency there is a queue.
	inflatedRatio = 2.0
	// relaxedRatio is the multiple of the best latency up to which the limit may grow.
	relaxedRatio = 1.7
	// noiseFloor is the latency in milliseconds below which none counts as inflated,
	// since differences of a few milliseconds are scheduling noise.
	noiseFloor = 30
	// bestCorrection is the share by which the best latency moves towards a higher one
	// that is seen at the smallest limit.
	bestCorrection = 0.2
)

// Adaptive is the adaptive concurrency limit of an endpoint. The zero value starts
// at 4.
type Adaptive struct {
	cur     float64
	lowered clock.Milli
	best    float64
}

// Limit returns the maximum number of requests in flight.
func (adp *Adaptive) Limit() int { return int(adp.value() + 0.5) }

func (adp *Adaptive) value() float64 {
	if adp.cur == 0 {
		return initialLimit
	}
	return adp.cur
}

// Succeeded records an answer and its latency while inFlight requests were in flight.
//
// The best latency is a minimum that would otherwise never rise: an endpoint that
// loads a larger model would look overloaded permanently. At the smallest limit the
// endpoint has no queue of ours, so its latency there is its service time, and the
// best latency moves towards it. A minimum over a time window is no substitute: in a
// long overload it rises to the overloaded latency and raises the limit as well.
func (adp *Adaptive) Succeeded(now, took clock.Milli, inFlight int) {
	val := max(float64(took), 1)
	if adp.best == 0 || val < adp.best {
		adp.best = val
	}
	if adp.value() <= minLimit && val > relaxedRatio*adp.best {
		adp.best += bestCorrection * (val - adp.best)
	}
	switch {
	case took > noiseFloor && val > inflatedRatio*adp.best:
		adp.decrease(now, took, inflatedFactor)
	case 2*inFlight >= adp.Limit() && (took <= noiseFloor || val <= relaxedRatio*adp.best):
		adp.cur = min(maxLimit, adp.value()+1/adp.value())
	}
}

// Overloaded records a refusal or a timeout and the time it took.
func (adp *Adaptive) Overloaded(now, took clock.Milli) { adp.decrease(now, took, overloadFactor) }

// decrease multiplies the limit by factor, at most once per response time.
func (adp *Adaptive) decrease(now, took clock.Milli, factor float64) {
	if adp.lowered != 0 && now-adp.lowered < max(took, noiseFloor) {
		return
	}
	adp.lowered = now
	adp.cur = max(minLimit, factor*adp.value())
}

// Workspace enforces the rate and concurrency limits of a workspace at one instance.
// The zero value admits no request; see [NewWorkspace].
type Workspace struct {
	bucket      *rate.Limiter
	inFlight    int
	maxInFlight int
}

// NewWorkspace returns limits of perSecond requests a second with a burst, and at
// most maxInFlight requests in flight. Each instance gets its share of the document's
// rate, see [Share].
func NewWorkspace(perSecond float64, burst, maxInFlight int) *Workspace {
	return &Workspace{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), maxInFlight: maxInFlight}
}

// Set changes the limits and keeps the count of requests in flight. A different
// burst means a changed document, and the bucket starts full: with the tokens left
// from the old limit it would refuse the first requests after the limit was raised.
func (wsp *Workspace) Set(perSecond float64, burst, maxInFlight int, now clock.Milli) {
	wsp.maxInFlight = maxInFlight
	if wsp.bucket.Burst() != burst {
		wsp.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	wsp.bucket.SetLimitAt(now.Time(), rate.Limit(perSecond))
}

// EnterResult is the result of [Workspace.Enter].
type EnterResult int

// Results of [Workspace.Enter].
const (
	// Admitted: the request was admitted.
	Admitted EnterResult = iota
	// TooFast: the rate limit is exceeded.
	TooFast
	// TooMany: the concurrency limit is reached.
	TooMany
)

// Enter requests admission of one more request. For TooFast it also returns the time
// until the next one is admitted.
func (wsp *Workspace) Enter(now clock.Milli) (EnterResult, clock.Milli) {
	if wsp.inFlight >= wsp.maxInFlight {
		return TooMany, 0
	}
	rsv := wsp.bucket.ReserveN(now.Time(), 1)
	if !rsv.OK() {
		return TooFast, clock.Second
	}
	if wait := rsv.DelayFrom(now.Time()); wait > 0 {
		rsv.CancelAt(now.Time())
		return TooFast, clock.FromDuration(wait) + 1
	}
	wsp.inFlight++
	return Admitted, 0
}

// Leave records the end of an admitted request.
func (wsp *Workspace) Leave() { wsp.inFlight-- }
