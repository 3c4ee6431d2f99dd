// Package ending classifies how a call to an endpoint ended, and what follows for the
// request's outcome, for another attempt, and for the routing that chose the endpoint.
//
// One set of endings covers all protocols of endpoints. What matters about each is whether
// it proves that nothing ran; after any other ending the request may have run. Package
// retry decides what may be repeated.
package ending

import (
	"context"

	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

//go:generate go tool stringer -type=Ending -linecomment -output=ending_string.go

// Ending is how a call to an endpoint ended.
type Ending int

// The endings.
const (
	// Answered: the whole answer to this call arrived, or its beginning if it streams.
	Answered Ending = iota // answered
	// NothingSent: no connection was established, so no byte was written.
	NothingSent // nothing_sent
	// Refused: the endpoint confirmed that nothing ran.
	Refused // refused
	// Errored: the endpoint answered with an error; it may have run.
	Errored // errored
	// Cut: the connection broke before the whole answer arrived; it may have run.
	Cut // cut
	// Foreign: the answer belonged to another call; this one may have run.
	Foreign // foreign
	// Unsigned: a success without the endpoint's signature; it may have run.
	Unsigned // unsigned
	// GaveUp: the call was canceled by its context; it may have run.
	GaveUp // gave_up
	// Withheld: a connection was established, but no byte was written since the request was
	// no longer permitted.
	Withheld // withheld
)

// Broken returns the ending of a call whose connection broke: GaveUp if the context has
// ended, otherwise Cut.
func Broken(ctx context.Context) Ending {
	if ctx.Err() != nil {
		return GaveUp
	}
	return Cut
}

// RanNothing reports whether the ending proves that nothing ran.
func (end Ending) RanNothing() bool { return !end.Sent() || end == Refused }

// Sent reports whether any byte of the request may have been written.
func (end Ending) Sent() bool { return end != NothingSent && end != Withheld }

// Cause returns the cause under which another attempt after this ending is counted.
func (end Ending) Cause() retry.Cause {
	switch end {
	case NothingSent, Withheld:
		return retry.NothingSent
	case Refused:
		return retry.Refused
	case Foreign, Unsigned:
		return retry.WrongAnswer
	}
	return retry.Cut
}

// RouteOutcome returns the routing's verdict on the endpoint. A call that was given up because
// its time expired, outlasted, counts against the endpoint: if it were neutral, only fast
// answers would count, and an endpoint too slow for every deadline would never be detected.
// A call that was given up because its caller disconnected, or that was withheld, is
// neutral.
func (end Ending) RouteOutcome(outlasted bool) route.Outcome {
	switch {
	case end == Answered:
		return route.Success
	case end == Refused || end == GaveUp && outlasted:
		return route.Overload
	case end == GaveUp || end == Withheld:
		return route.Cancelled
	}
	return route.Failure
}
