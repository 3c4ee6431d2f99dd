package admit

import "amaranthvalve/pkg/clock"

// contendedShare is the share of the target latency that a request's estimate may use up
// while its pools are contended. The estimate is made from current waits, but more urgent
// requests that arrive later go first and items of other requests lengthen its batches: a
// tenth of the requests took 0.9 s longer than estimated. Without this margin most requests
// admitted with no time to spare were late and used slots that others needed.
const contendedShare = 0.75

// Budget is the time budget of a request on arrival.
type Budget struct {
	// Estimate is the estimated time of the stages, including their queueing delays.
	Estimate clock.Milli
	// ToDeadline is the time until the caller's deadline, ToTarget the time until the target
	// latency is exceeded. They are equal for a request without a target latency.
	ToDeadline clock.Milli
	ToTarget   clock.Milli
	// Contended is set if other requests are queued at the pools of this one.
	Contended bool
	// Starved is the class by which the request is starved. A request whose size is starved is held to its
	// deadline only: where its stages alone take most of the target latency, it would be refused for as
	// long as its pools are contended.
	Starved Class
	// Wait is the longest wait of the stages at the request's own rank; zero where ranks don't count.
	Wait clock.Milli
}

// Admission is the admission decision for a request.
type Admission int

// Admission decisions.
const (
	// Admit: the answer is expected in time, or the request would delay no queued one.
	Admit Admission = iota
	// MissesDeadline: the request can't be answered before the caller's deadline.
	MissesDeadline
	// ShedLate: the request would probably exceed the target latency and take a slot
	// from another request that can meet it.
	ShedLate
)

// Judge decides on admission when the request arrives. A refusal on arrival costs nothing;
// a later one wastes endpoint time and leaves the caller less time for a retry.
func (bdg Budget) Judge() Admission {
	switch {
	case bdg.Estimate > bdg.ToDeadline:
		return MissesDeadline
	case bdg.Contended && bdg.Starved != Size && float64(bdg.Estimate) > contendedShare*float64(bdg.ToTarget):
		return ShedLate
	}
	return Admit
}

// Excess returns by how much the estimate exceeds the available time. It is the shortest
// useful retry-after delay if the queues drain in the meantime.
func (bdg Budget) Excess() clock.Milli {
	if bdg.Estimate > bdg.ToDeadline {
		return bdg.Estimate - bdg.ToDeadline
	}
	return bdg.Estimate - bdg.ToTarget
}

// RetryAfter returns the retry-after delay of a refused request before jitter and bounds: the excess,
// and at least the wait at the request's own rank. With the excess alone, which is negative within
// the margin, callers returned to the queue for which they had been refused.
func (bdg Budget) RetryAfter() clock.Milli { return max(bdg.Excess(), bdg.Wait) }
