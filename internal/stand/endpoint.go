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

// reportLag is the maximum age of an endpoint's load report.
const reportLag = 500 * time.Millisecond

// Execution is an entry of an endpoint's record of executed requests.
type Execution struct {
	Attempt   string `json:"attempt"`
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Input     string `json:"input"`
	Tokens    int    `json:"tokens,omitempty"`
}

// Endpoint is a test double of a stage pool's endpoint, a plain service or, if created by
// [NewEngine], a model engine.
type Endpoint struct {
	id            string
	stepMs        int64
	slots         chan struct{}
	faults        faultState
	engine        *engine
	checksFencing bool
	mtx           sync.Mutex
	running       int
	reportedLoad  int
	reportedAt    time.Time
	executions    []Execution
	model         string
	fence         int64
	orders        []wire.Order
}

// NewEndpoint returns an endpoint that takes stepMs for each request and runs up to
// parallel requests at once.
func NewEndpoint(id string, stepMs int64, parallel int) *Endpoint {
	return &Endpoint{id: id, stepMs: stepMs, slots: make(chan struct{}, parallel)}
}

// CheckFencing sets whether the endpoint refuses orders with an outdated fencing number.
func (ept *Endpoint) CheckFencing(checks bool) { ept.checksFencing = checks }

// SetFaults replaces the faults in force.
func (ept *Endpoint) SetFaults(flt Faults) { ept.faults.set(flt) }

// ID returns the endpoint's ID in the instance list.
func (ept *Endpoint) ID() string { return ept.id }

// Executions returns the record of executed requests.
func (ept *Endpoint) Executions() []Execution {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	return append([]Execution(nil), ept.executions...)
}

// Orders returns the accepted orders in the order of their arrival.
func (ept *Endpoint) Orders() []wire.Order {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	return append([]wire.Order(nil), ept.orders...)
}

// Model returns the name of the loaded model.
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
	defer func() { <-ept.slots }()
	start := time.Now()
	ept.record(Execution{Attempt: run.Attempt, RequestID: run.RequestID, Workspace: run.Workspace, Input: run.JoinInputs()})
	sleep(req.Context(), ept.stepMs)
	ept.faults.loseReply()
	if ept.faults.take(func(flt *Faults) *int { return &flt.WrongAttempt }) {
		run.Attempt = "00000000000000000000000000000000"
	}
	ept.setHeaders(wrt)
	wire.WriteJSON(wrt, http.StatusOK, wire.RunResult{
		Attempt:  run.Attempt,
		Output:   fmt.Sprintf("%s(%s)", run.Stage, run.JoinInputs()),
		EngineMs: clock.FromDuration(time.Since(start)),
	})
}

func (ept *Endpoint) occupy(ctx context.Context) bool {
	select {
	case ept.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func sleep(ctx context.Context, ms int64) {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-ctx.Done():
	}
}

func (ept *Endpoint) record(exc Execution) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	ept.executions = append(ept.executions, exc)
}

func (ept *Endpoint) count(n int) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	ept.running += n
}

func (ept *Endpoint) setHeaders(wrt http.ResponseWriter) {
	ept.mtx.Lock()
	defer ept.mtx.Unlock()
	wrt.Header().Set(wire.HeaderLoad, strconv.Itoa(ept.running))
	if ept.faults.get().Leave {
		wrt.Header().Set(wire.HeaderLeaving, "1")
	}
}

func (ept *Endpoint) load(wrt http.ResponseWriter, _ *http.Request) {
	ept.mtx.Lock()
	// The reported load is up to reportLag old.
	if time.Since(ept.reportedAt) > reportLag {
		ept.reportedLoad, ept.reportedAt = ept.running, time.Now()
	}
	rep := wire.Load{Load: ept.reportedLoad, Leaving: ept.faults.get().Leave, Model: ept.model, Fence: ept.fence}
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
	outdated := ept.checksFencing && ord.Fence < ept.fence
	if !outdated {
		ept.fence = max(ept.fence, ord.Fence)
		ept.model = ord.Model
		ept.orders = append(ept.orders, ord)
	}
	ept.mtx.Unlock()
	if outdated {
		wire.WriteJSON(wrt, http.StatusConflict, wire.ErrorBody{Error: "fencing number is outdated"})
		return
	}
	ept.faults.loseReply()
	wire.WriteJSON(wrt, http.StatusOK, ord)
}
