package claim

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

//go:generate go tool stringer -type=Move -linecomment -output=move_string.go

// Move is what an instance does next about a request with a key.
type Move int

// The moves.
const (
	// Append: the key is free, append a claim.
	Append Move = iota // append
	// Run: this attempt holds the key, dispatch.
	Run // run
	// Wait: another attempt holds the key, wait for its settlement.
	Wait // wait
	// Answer: the key is settled, hand out the recorded result.
	Answer // answer
	// Refuse: the result says why.
	Refuse // refuse
)

// Ask is a request's side of the decision.
type Ask struct {
	// Attempt is this attempt's id.
	Attempt string
	// Digest is the hash of the request.
	Digest string
	// Expires is the expiry that the caller named.
	Expires clock.Milli
	// HolderLive tells whether the holder is among the live instances.
	HolderLive bool
}

// Judge decides by the ledger's state of a key at the instant now. A result is
// given with Refuse and Answer.
func Judge(st State, ask Ask, now clock.Milli) (Move, outcm.Result) {
	named := st.attempt != ""
	if named && st.digest != ask.Digest {
		return Refuse, outcm.New(outcm.NotRun, outcm.KeyConflict, "the key names another request; this one did not run")
	}
	if st.phase == Settled {
		return Answer, st.Result()
	}
	if st.phase == Held && st.attempt == ask.Attempt {
		return Run, outcm.Result{}
	}
	if st.phase == Held && !ask.HolderLive {
		return Refuse, outcm.New(outcm.Unknown, outcm.KeyHolderGone, "the instance that ran it is gone; it will not be run again")
	}
	if st.phase == Held {
		return Wait, outcm.Result{}
	}
	if ask.Expires <= now || named && st.expires <= now {
		return Refuse, outcm.New(outcm.Unknown, outcm.KeyExpired, "the key has expired; whether it ran is not said")
	}
	return Append, outcm.Result{}
}
