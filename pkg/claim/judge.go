package claim

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

//go:generate go tool stringer -type=Move -linecomment -output=move_string.go

// Move is the next step of an instance for a request with a key.
type Move int

// The moves.
const (
	// Append: the key is free; append a claim.
	Append Move = iota // append
	// Run: this attempt holds the key; dispatch the request.
	Run // run
	// Wait: another attempt holds the key; wait for its settlement.
	Wait // wait
	// Answer: the key is settled; return the recorded result.
	Answer // answer
	// Refuse: the request is refused for the reason in the result.
	Refuse // refuse
)

// Query describes the request about which [Judge] decides.
type Query struct {
	// Attempt is the id of this attempt.
	Attempt string
	// Digest is the hash of the request.
	Digest string
	// Expires is the expiry that the caller requested.
	Expires clock.Milli
	// HolderLive reports whether the holder is among the live instances.
	HolderLive bool
}

// Judge returns the next step for a request from the state of its key at the time now. The
// result is set for Refuse and Answer.
func Judge(st State, qry Query, now clock.Milli) (Move, outcm.Result) {
	claimed := st.attempt != ""
	if claimed && st.digest != qry.Digest {
		return Refuse, outcm.New(outcm.NotRun, outcm.KeyConflict, "the key belongs to a request with another digest; this one did not run")
	}
	if st.phase == Settled {
		return Answer, st.Result()
	}
	if st.phase == Held && st.attempt == qry.Attempt {
		return Run, outcm.Result{}
	}
	if st.phase == Held && !qry.HolderLive {
		return Refuse, outcm.New(outcm.Unknown, outcm.KeyHolderGone, "the instance that holds the key is no longer live; the request will not be run again")
	}
	if st.phase == Held {
		return Wait, outcm.Result{}
	}
	if qry.Expires <= now || claimed && st.expires <= now {
		return Refuse, outcm.New(outcm.Unknown, outcm.KeyExpired, "the key has expired; whether the request ran is unknown")
	}
	return Append, outcm.Result{}
}
