package stand

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
)

// reportLag is how old an endpoint's load report may be.
const reportLag = 500 * time.Millisecond

// Execution is a line of an endpoint's own record of what it ran.
type Execution struct {
	Attempt   string `json:"attempt"`
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Input     string `json:"input"`
	Tokens    int    `json:"tokens,omitempty"`
}

// Endpoint stands in for a stage pool's endpoint, a plain service or, with
// [NewEngine], a model engine.
type Endpoint struct {
	id      string
	stepMs  int64
	places  chan struct{}
	faults  faulty
	engine  *engine
	checks  bool
	mtx     sync.Mutex
	running int
	shown   int
	shownAt time.Time
	ran     []Execution
	model   string
	fence   int64
	orders  []wire.Order
}

// NewEndpoint returns an endpoint that runs each request in stepMs and so many
// at once.
func NewEndpoint(id string, stepMs int64, parallel int) *Endpoint {
	return &Endpoint{id: id, stepMs: stepMs, places: make(chan struct{}, parallel)}
}

// CheckFencing makes the endpoint refuse orders with an old fencing number.
func (ept *Endpoint) CheckFencing(checks bool) { ept.checks = checks }

// SetFaults switches faults on and off.
func (ept *Endpoint) SetFaults(flt Faults) { ept.faults.set(flt) }

// ID gives the endpoint's name in the instance list.
func (ept *Endpoint) ID() string { return ept.id }

// Executions gives the record of what ran.
func (ept *Endpoint) Executions() []Execution {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	return append([]Execution(nil), ept.ran...)
}

// Orders gives the orders that were taken, in their order.
func (ept *Endpoint) Orders() []wire.Order {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	return append([]wire.Order(nil), ept.orders...)
}

// Model gives the model that is loaded.
func (ept *Endpoint) Model() string {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	return ept.model
}

// Handler serves the endpoints' protocol.
func (ept *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", ept.faults.guard(ept.run))
	mux.HandleFunc("GET /v1/load", ept.faults.guard(ept.load))
	mux.HandleFunc("POST /v1/orders", ept.faults.guard(ept.order))
	mux.HandleFunc("GET /v1/executions", func(wrt http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(wrt, http.StatusOK, ept.Executions())
	})
	mux.HandleFunc("/v1/faults", ept.faults.handle)
	if ept.engine != nil {
		mux.HandleFunc("POST /v1/generate", ept.faults.guard(ept.generate))
		mux.HandleFunc("GET /v1/streams/{attempt}", ept.faults.guard(ept.resume))
		mux.HandleFunc("DELETE /v1/streams/{attempt}", ept.cancel)
	}
	return mux
}

func (ept *Endpoint) run(wrt http.ResponseWriter, req *http.Request) {
	var run wire.Run
	if err := wire.ReadJSON(req.Body, 4<<20, &run); err != nil {
		wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	ept.count(1)
	defer ept.count(-1)
	if !ept.occupy(req.Context()) {
		return
	}
	defer func() { <-ept.places }()
	began := time.Now()
	ept.note(Execution{Attempt: run.Attempt, RequestID: run.RequestID, Workspace: run.Workspace, Input: run.JoinInputs()})
	wait(req.Context(), ept.stepMs)
	ept.faults.cutReply()
	if ept.faults.use(func(flt *Faults) *int { return &flt.WrongAttempt }) {
		run.Attempt = "00000000000000000000000000000000"
	}
	ept.headers(wrt)
	wire.WriteJSON(wrt, http.StatusOK, wire.RunResult{
		Attempt:  run.Attempt,
		Output:   fmt.Sprintf("%s(%s)", run.Stage, run.JoinInputs()),
		EngineMs: clock.FromDuration(time.Since(began)),
	})
}

func (ept *Endpoint) occupy(ctx context.Context) bool {
	select {
	case ept.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func wait(ctx context.Context, ms int64) {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-ctx.Done():
	}
}

func (ept *Endpoint) note(exc Execution) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	ept.ran = append(ept.ran, exc)
}

func (ept *Endpoint) count(n int) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	ept.running += n
}

func (ept *Endpoint) headers(wrt http.ResponseWriter) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	wrt.Header().Set(wire.HeaderLoad, strconv.Itoa(ept.running))
	if ept.faults.get().Leave {
		wrt.Header().Set(wire.HeaderLeaving, "1")
	}
}

func (ept *Endpoint) load(wrt http.ResponseWriter, _ *http.Request) {
	ept.mtx.Lock()
	// The report lags behind.
	if time.Since(ept.shownAt) > reportLag {
		ept.shown, ept.shownAt = ept.running, time.Now()
	}
	rep := wire.Load{Load: ept.shown, Leaving: ept.faults.get().Leave, Model: ept.model, Fence: ept.fence}
	ept.mtx.Unlock()
	if ept.engine != nil {
		rep.Evicted = ept.engine.takeEvicted()
	}
	wire.WriteJSON(wrt, http.StatusOK, rep)
}

func (ept *Endpoint) order(wrt http.ResponseWriter, req *http.Request) {
	var ord wire.Order
	if err := wire.ReadJSON(req.Body, 1<<16, &ord); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	ept.mtx.Lock()
	old := ept.checks && ord.Fence < ept.fence
	if !old {
		ept.fence = max(ept.fence, ord.Fence)
		ept.model = ord.Model
		ept.orders = append(ept.orders, ord)
	}
	ept.mtx.Unlock()
	if old {
		wire.WriteJSON(wrt, http.StatusConflict, wire.ErrorBody{Error: "old fencing number"})
		return
	}
	ept.faults.cutReply()
	wire.WriteJSON(wrt, http.StatusOK, ord)
}
