// Package ending tells how a call to an endpoint ended, and what follows from it: for
// the request's outcome, for another attempt, and for the routing that chose the
// endpoint.
//
// There is one list of endings for all protocols that endpoints are spoken to in. What
// matters about each is whether it is proved that nothing ran; everything else may have
// run, whatever it looks like. Package retry decides what may be done again.
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
	// Answered: the whole answer to this call came, or its beginning where it streams.
	Answered Ending = iota // answered
	// NothingSent: no connection was had, so no byte was written.
	NothingSent // nothing_sent
	// Refused: the endpoint gave its word that nothing ran.
	Refused // refused
	// Errored: the endpoint answered with an error; it may have run.
	Errored // errored
	// Cut: the connection ended before the whole answer; it may have run.
	Cut // cut
	// Foreign: the answer belonged to another call; ours may have run.
	Foreign // foreign
	// Unsigned: a success without the endpoint's proof; it may have run.
	Unsigned // unsigned
	// GaveUp: our own context ended; it may have run.
	GaveUp // gave_up
	// Withheld: a connection was had, and no byte was written, since the request was allowed
	// no longer.
	Withheld // withheld
)

// Broken gives the ending of a call whose connection broke: our own end of it, if the
// context has ended, or else a cut.
func Broken(ctx context.Context) Ending {
	if ctx.Err() != nil {
		return GaveUp
	}
	return Cut
}

// RanNothing tells whether it is proved that nothing ran.
func (end Ending) RanNothing() bool { return !end.Sent() || end == Refused }

// Sent tells whether any byte of the request may have been written.
func (end Ending) Sent() bool { return end != NothingSent && end != Withheld }

// Cause gives what another attempt after this one is counted as.
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

// Verdict tells routing how the endpoint did. One that we gave up because its time was
// over, outlasted, is the endpoint's fault; were it neutral, an endpoint that is too
// slow for every deadline would never be found out, for only fast answers would be
// counted. One that we gave up because its caller went, or sent nothing of, is nobody's.
func (end Ending) Verdict(outlasted bool) route.Outcome {
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
