package stand

import (
	"net/http"
	"sync"
	"time"

	"amaranthvalve/internal/wire"
)

// Faults is what goes wrong at a stand-in. Numbers count down with each use.
type Faults struct {
	// SlowMs delays each answer.
	SlowMs int64 `json:"slow_ms"`
	// Outage refuses everything with 503.
	Outage bool `json:"outage"`
	// Freeze holds every request until it is switched off.
	Freeze bool `json:"freeze"`
	// LoseReplies executes the next requests and cuts the connection in place
	// of the answer.
	LoseReplies int `json:"lose_replies"`
	// Cut cuts the connection before anything is executed.
	Cut int `json:"cut"`
	// Fail executes nothing and answers 500.
	Fail int `json:"fail"`
	// Refuse answers 503 with the word that nothing ran.
	Refuse int `json:"refuse"`
	// WrongAttempt answers the next requests under another attempt's id.
	WrongAttempt int `json:"wrong_attempt"`
	// CutAfter cuts each stream after so many tokens while CutStreams lasts.
	CutAfter   int `json:"cut_after"`
	CutStreams int `json:"cut_streams"`
	// Leave makes an endpoint report that it is leaving.
	Leave bool `json:"leave"`
	// HoldAppends takes records and puts them into the log only when it is switched off,
	// whether their sender waits for that or not.
	HoldAppends bool `json:"hold_appends"`
	// OldEnd makes reads of the log answer as if the newest records, so many,
	// were not there yet.
	OldEnd int `json:"old_end"`
}

// faulty holds the faults of one stand-in.
type faulty struct {
	mtx  sync.Mutex
	cur  Faults
	thaw chan struct{}
	// release is closed when appends are held no longer.
	release chan struct{}
}

func (fty *faulty) get() Faults {
	fty.mtx.Lock()
	defer fty.mtx.Unlock()
	return fty.cur
}

func (fty *faulty) set(flt Faults) {
	fty.mtx.Lock()
	defer fty.mtx.Unlock()
	if fty.thaw != nil {
		close(fty.thaw)
		fty.thaw = nil
	}
	if fty.release != nil {
		close(fty.release)
		fty.release = nil
	}
	if flt.Freeze {
		fty.thaw = make(chan struct{})
	}
	if flt.HoldAppends {
		fty.release = make(chan struct{})
	}
	fty.cur = flt
}

// use takes one of a counted fault.
func (fty *faulty) use(count func(*Faults) *int) bool {
	fty.mtx.Lock()
	defer fty.mtx.Unlock()
	n := count(&fty.cur)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// pause waits out a freeze and the slowness, or until the caller is gone.
func (fty *faulty) pause(req *http.Request) {
	fty.mtx.Lock()
	thaw, slow := fty.thaw, fty.cur.SlowMs
	fty.mtx.Unlock()
	if thaw != nil {
		select {
		case <-thaw:
		case <-req.Context().Done():
		}
	}
	if slow > 0 {
		select {
		case <-time.After(time.Duration(slow) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
}

// held gives what ends when appends are held no longer, nil if none are.
func (fty *faulty) held() <-chan struct{} {
	fty.mtx.Lock()
	defer fty.mtx.Unlock()
	return fty.release
}

func (fty *faulty) handle(wrt http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		wire.WriteJSON(wrt, http.StatusOK, fty.get())
		return
	}
	var flt Faults
	if err := wire.ReadJSON(req.Body, 1<<16, &flt); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	fty.set(flt)
	wire.WriteJSON(wrt, http.StatusOK, flt)
}

// guard applies the faults that need no knowledge of the request.
func (fty *faulty) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(wrt http.ResponseWriter, req *http.Request) {
		fty.pause(req)
		switch {
		case fty.get().Outage:
			wrt.Header().Set("Retry-After", "1")
			wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "outage"})
		case fty.use(func(flt *Faults) *int { return &flt.Cut }):
			panic(http.ErrAbortHandler)
		case fty.use(func(flt *Faults) *int { return &flt.Refuse }):
			wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "refused"})
		case fty.use(func(flt *Faults) *int { return &flt.Fail }):
			wire.WriteJSON(wrt, http.StatusInternalServerError, wire.ErrorBody{Error: "failed"})
		default:
			next(wrt, req)
		}
	}
}

// cutReply ends the connection without an answer, after the effect.
func (fty *faulty) cutReply() {
	if fty.use(func(flt *Faults) *int { return &flt.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
}
