// Package limit bounds how much is under way: at each endpoint by what the
// endpoint has shown it can take, and for each workspace by its document.
//
// An endpoint's limit is found by additive increase and multiplicative decrease
// (D.-M. Chiu and R. Jain, 1989), as congestion control does: a success at a
// full limit raises it a little, an overload lowers it by a share, at most once
// in the time of an answer, since all answers of one bad moment arrive together.
// Latency counts as overload only when it is several times the best seen lately:
// an engine that batches answers more slowly the fuller it is, long before it
// does less work.
package limit

import (
	"golang.org/x/time/rate"

	"amaranthvalve/pkg/clock"
)

// Constants of an endpoint's limit.
const (
	initialLimit = 4.0
	minLimit     = 1.0
	maxLimit     = 256.0
	// lost is the share kept after a refusal or a timeout, inflatedKept after an
	// answer that took too long.
	lost         = 0.7
	inflatedKept = 0.9
	// inflated times the best latency counts as overload. A full batch takes up
	// to half as long again as an empty one; at twice the best there is a queue.
	inflated = 2.0
	// relaxed times the best latency or less lets the limit grow.
	relaxed = 1.7
	// floor is the latency below which nothing counts as inflated: a few
	// milliseconds are scheduling noise.
	floor = 30
	// corrected is the share by which the best latency moves towards what is
	// seen at the smallest limit.
	corrected = 0.2
)

// Adaptive is an endpoint's limit. The zero value starts at 4.
type Adaptive struct {
	cur     float64
	lowered clock.Milli
	best    float64
}

// Limit gives how many requests may be under way.
func (adp *Adaptive) Limit() int { return int(adp.value() + 0.5) }

func (adp *Adaptive) value() float64 {
	if adp.cur == 0 {
		return initialLimit
	}
	return adp.cur
}

// Succeeded notes an answer that took so long while inFlight were under way.
//
// The best latency is a minimum that would stay for ever: an endpoint that got
// a larger model looked overloaded for good. At the smallest limit the endpoint
// has no queue of ours, so that what it shows there is its own pace, and the
// best moves towards it. A minimum over a window was tried first and dropped: in
// a long overload it rises to the overloaded latency, and the limit with it.
func (adp *Adaptive) Succeeded(now, took clock.Milli, inFlight int) {
	val := max(float64(took), 1)
	if adp.best == 0 || val < adp.best {
		adp.best = val
	}
	if adp.value() <= minLimit && val > relaxed*adp.best {
		adp.best += corrected * (val - adp.best)
	}
	switch {
	case took > floor && val > inflated*adp.best:
		adp.lower(now, took, inflatedKept)
	case 2*inFlight >= adp.Limit() && (took <= floor || val <= relaxed*adp.best):
		adp.cur = min(maxLimit, adp.value()+1/adp.value())
	}
}

// Overloaded notes a refusal or a timeout after so long.
func (adp *Adaptive) Overloaded(now, took clock.Milli) { adp.lower(now, took, lost) }

func (adp *Adaptive) lower(now, took clock.Milli, kept float64) {
	if adp.lowered != 0 && now-adp.lowered < max(took, floor) {
		return
	}
	adp.lowered = now
	adp.cur = max(minLimit, kept*adp.value())
}

// Workspace holds a workspace's limits at one instance. The zero value lets
// nothing through; see [NewWorkspace].
type Workspace struct {
	bucket   *rate.Limiter
	inFlight int
	most     int
}

// NewWorkspace returns limits of so many requests a second with a burst, and so
// many under way. An instance is given its part of the document's rate.
func NewWorkspace(perSecond float64, burst, most int) *Workspace {
	return &Workspace{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), most: most}
}

// Set changes the limits and keeps what is under way. A burst that changed means
// a changed document: the bucket starts full, for it would otherwise refuse the
// first requests after the owner raised the limit, with what it had left from
// the old one.
func (wsp *Workspace) Set(perSecond float64, burst, most int, now clock.Milli) {
	wsp.most = most
	if wsp.bucket.Burst() != burst {
		wsp.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	wsp.bucket.SetLimitAt(now.Time(), rate.Limit(perSecond))
}

// Verdict is the answer to a request to enter.
type Verdict int

// The verdicts.
const (
	Entered Verdict = iota
	TooFast
	TooMany
)

// Enter asks for one more request under way. For TooFast the span says when the
// next one is let through.
func (wsp *Workspace) Enter(now clock.Milli) (Verdict, clock.Milli) {
	if wsp.inFlight >= wsp.most {
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
	return Entered, 0
}

// Leave notes that a request that entered has ended.
func (wsp *Workspace) Leave() { wsp.inFlight-- }
