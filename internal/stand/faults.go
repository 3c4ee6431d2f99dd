package stand

import (
	"net/http"
	"sync"
	"time"

	"amaranthvalve/internal/wire"
)

// Faults are the faults of a test double. Counters of requests and streams drop by one with
// each use.
type Faults struct {
	// SlowMs delays the processing of each request.
	SlowMs int64 `json:"slow_ms"`
	// Outage refuses all requests with status 503.
	Outage bool `json:"outage"`
	// Freeze blocks all requests until it is switched off.
	Freeze bool `json:"freeze"`
	// LoseReplies executes the next requests and closes their connections instead of
	// answering.
	LoseReplies int `json:"lose_replies"`
	// Cut closes the connections of the next requests and executes nothing.
	Cut int `json:"cut"`
	// Fail answers the next requests with status 500 and executes nothing.
	Fail int `json:"fail"`
	// Refuse answers the next requests with status 503 and a header that confirms that
	// nothing was executed.
	Refuse int `json:"refuse"`
	// WrongAttempt answers the next requests under another attempt's ID.
	WrongAttempt int `json:"wrong_attempt"`
	// CutAfter is the number of tokens after which the next CutStreams streams are cut.
	CutAfter   int `json:"cut_after"`
	CutStreams int `json:"cut_streams"`
	// Leave makes an endpoint report that it is leaving.
	Leave bool `json:"leave"`
	// HoldAppends delays appends to the log until it is switched off. The records are then
	// appended even if their sender has disconnected.
	HoldAppends bool `json:"hold_appends"`
	// HideNewest is the number of newest records that reads of the log omit, as if they had
	// not been appended yet.
	HideNewest int `json:"old_end"`
}

// faultState holds the faults of one test double.
type faultState struct {
	mtx      sync.Mutex
	cur      Faults
	unfreeze chan struct{}
	// release is closed when appends are no longer held back; nil if none are.
	release chan struct{}
}

func (fst *faultState) get() Faults {
	fst.mtx.Lock()
	defer fst.mtx.Unlock()
	return fst.cur
}

func (fst *faultState) set(flt Faults) {
	fst.mtx.Lock()
	defer fst.mtx.Unlock()
	if fst.unfreeze != nil {
		close(fst.unfreeze)
		fst.unfreeze = nil
	}
	if fst.release != nil {
		close(fst.release)
		fst.release = nil
	}
	if flt.Freeze {
		fst.unfreeze = make(chan struct{})
	}
	if flt.HoldAppends {
		fst.release = make(chan struct{})
	}
	fst.cur = flt
}

// take decrements a counter and reports whether it was above 0.
func (fst *faultState) take(count func(*Faults) *int) bool {
	fst.mtx.Lock()
	defer fst.mtx.Unlock()
	n := count(&fst.cur)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// delay waits until a freeze ends and then for SlowMs; the caller's disconnection ends the wait.
func (fst *faultState) delay(req *http.Request) {
	fst.mtx.Lock()
	thaw, slow := fst.unfreeze, fst.cur.SlowMs
	fst.mtx.Unlock()
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

// appendsReleased returns a channel that is closed when appends are no longer held back; nil if
// none are.
func (fst *faultState) appendsReleased() <-chan struct{} {
	fst.mtx.Lock()
	defer fst.mtx.Unlock()
	return fst.release
}

func (fst *faultState) handle(wrt http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		wire.WriteJSON(wrt, http.StatusOK, fst.get())
		return
	}
	var flt Faults
	if err := wire.ReadJSON(req.Body, 1<<16, &flt); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	fst.set(flt)
	wire.WriteJSON(wrt, http.StatusOK, flt)
}

// guard applies the faults that do not depend on the kind of request.
func (fst *faultState) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(wrt http.ResponseWriter, req *http.Request) {
		fst.delay(req)
		switch {
		case fst.get().Outage:
			wrt.Header().Set("Retry-After", "1")
			wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "outage"})
		case fst.take(func(flt *Faults) *int { return &flt.Cut }):
			panic(http.ErrAbortHandler)
		case fst.take(func(flt *Faults) *int { return &flt.Refuse }):
			wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "refused"})
		case fst.take(func(flt *Faults) *int { return &flt.Fail }):
			wire.WriteJSON(wrt, http.StatusInternalServerError, wire.ErrorBody{Error: "failed"})
		default:
			next(wrt, req)
		}
	}
}

// loseReply closes the connection without an answer if LoseReplies is set; it is called
// after the request has been executed.
func (fst *faultState) loseReply() {
	if fst.take(func(flt *Faults) *int { return &flt.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
}
