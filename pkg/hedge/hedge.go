package hedge

import "amaranthvalve/pkg/clock"

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the reason for which no hedge is sent, or [None]. Each has a counter.
type Reason int

// The reasons, in the order in which [Case.Judge] checks them. [NoSlot] and [NoRetry] are found after it.
const (
	// None: nothing speaks against a hedge.
	None Reason = iota // none
	// Off: no extra work is permitted.
	Off // off
	// Once: the request may run once only.
	Once // runs_once
	// Begun: bytes of an answer were sent to the caller.
	Begun // answer_begun
	// NoAttempt: the route permits no further attempt.
	NoAttempt // attempts_used
	// Suspected: endpoints have crashed under the request or under a part of its prompt.
	Suspected // suspected
	// Denied: the request may not be sent any longer, for its token or its quarantine.
	Denied // denied
	// NoInputs: the inputs of the request have been released.
	NoInputs // inputs_released
	// Scarce: the endpoints of the pool are brittle, cold, or have a rate.
	Scarce // pool_scarce
	// Unmeasured: too few answers of the route and pool have been observed.
	Unmeasured // unmeasured
	// Late: the request's deadline passes before the hedge would be answered.
	Late // late
	// NoShare: the share of extra work is used up.
	NoShare // share_used
	// NoSlot: no other endpoint has a free slot.
	NoSlot // no_slot
	// NoRetry: the retry budget of the pool is used up.
	NoRetry // retry_budget_used
)

// Reasons returns all reasons against a hedge, for the counters.
func Reasons() []Reason {
	var list []Reason
	for reason := Off; reason <= NoRetry; reason++ {
		list = append(list, reason)
	}
	return list
}

// MaxShare is the largest share of extra work that may be set.
const MaxShare = 0.2

// ValidShare reports whether a share of extra work may be set.
func ValidShare(share float64) bool { return share >= 0 && share <= MaxShare }

// Case describes a request whose first attempt is in flight.
type Case struct {
	// Share is the permitted extra work as a share of the requests.
	Share float64
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Begun is set once bytes of an answer were sent to the caller, for this request or for the stream that
	// it resumes.
	Begun bool
	// Used is the number of attempts that may have run, including the one in flight; Attempts is the number
	// that the route permits.
	Used     int
	Attempts int
	// Suspected is set if endpoints crashed under the request or a part of its prompt, Denied if it may not be
	// sent any longer, Released if it has inputs that were released.
	Suspected bool
	Denied    bool
	Released  bool
	// Scarce is set if the pool has endpoints that are brittle, cold, or have a rate.
	Scarce bool
	// Delay is the time from the sending of the first attempt to that of the hedge, zero if it is not known.
	// Left is the time from the sending of the hedge to the request's deadline.
	Delay clock.Milli
	Left  clock.Milli
	// Affordable is set if the share of extra work is not used up.
	Affordable bool
}

// Judge returns the first reason against a hedge, or [None].
func (cse Case) Judge() Reason {
	switch {
	case cse.Share <= 0:
		return Off
	case !cse.Repeatable:
		return Once
	case cse.Begun:
		return Begun
	case cse.Used >= cse.Attempts:
		return NoAttempt
	case cse.Suspected:
		return Suspected
	case cse.Denied:
		return Denied
	case cse.Released:
		return NoInputs
	case cse.Scarce:
		return Scarce
	case cse.Delay <= 0:
		return Unmeasured
	case cse.Left <= 0:
		return Late
	case !cse.Affordable:
		return NoShare
	}
	return None
}

// Budget is the running share of extra work of one route and pool. Each request adds the share to it, each hedge
// takes one. It begins empty, so that over any time since its beginning there are at most share times the requests.
// The zero value is empty.
type Budget struct {
	saved float64
}

// maxSaved bounds what is saved up in quiet times, in hedges: a burst of hedges would otherwise meet endpoints that
// have just become slow for all.
const maxSaved = 10

// CountRequest adds the share of one request.
func (bdg *Budget) CountRequest(share float64) {
	bdg.saved = min(bdg.saved+min(max(share, 0), MaxShare), maxSaved)
}

// Affordable reports whether a hedge can be taken.
func (bdg *Budget) Affordable() bool { return bdg.saved >= 1 }

// Take takes a hedge, and reports whether there was one.
func (bdg *Budget) Take() bool {
	if !bdg.Affordable() {
		return false
	}
	bdg.saved--
	return true
}

// Refund returns a hedge that was taken and not sent.
func (bdg *Budget) Refund() { bdg.saved = min(bdg.saved+1, maxSaved) }
