package stand

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
)

const (
	defaultTokens = 16
	// cacheSize bounds the prompt prefixes an engine remembers.
	cacheSize = 64
	// streamLife is how long a finished or abandoned stream can be resumed.
	streamLife = 30 * time.Second
)

// engine is the generating part of an endpoint: a batch that advances all its
// streams by one token a step.
type engine struct {
	stepMs  int64
	batch   int
	mtx     sync.Mutex
	streams map[string]*generation
	running int
	active  map[string]*generation
	order   []uint64
	cached  map[uint64]bool
	evicted []uint64
}

// generation is one stream. Its tokens are a function of the prompt, so that
// any engine goes on as the first one would have.
type generation struct {
	run     wire.Run
	began   time.Time
	mtx     sync.Mutex
	have    int
	want    int
	grown   chan struct{}
	stop    context.CancelFunc
	stopped bool
}

// NewEngine returns a model engine with steps of stepMs and a batch of so many
// streams.
func NewEngine(id string, stepMs int64, batch int) *Endpoint {
	ept := NewEndpoint(id, stepMs, batch)
	ept.engine = &engine{stepMs: stepMs, batch: batch, streams: map[string]*generation{}, active: map[string]*generation{}, cached: map[uint64]bool{}}
	return ept
}

// TokenAt gives the token that any engine generates at an index of a prompt.
func TokenAt(prompt string, index int) string {
	return fmt.Sprintf("t%d-%04x ", index, uint16(xxhash.Sum64String(prompt+strconv.Itoa(index))))
}

func (ept *Endpoint) generate(wrt http.ResponseWriter, req *http.Request) {
	var run wire.Run
	if err := wire.ReadJSON(req.Body, 4<<20, &run); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	gen, ok := ept.engine.start(run)
	if !ok {
		wrt.Header().Set(wire.HeaderExecuted, wire.ExecutedNo)
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "batch full"})
		return
	}
	ept.note(Execution{Attempt: run.Attempt, RequestID: run.RequestID, Workspace: run.Workspace, Input: run.JoinInputs(), Tokens: gen.want - run.From})
	ept.stream(wrt, req, gen, run.From)
}

func (ept *Endpoint) resume(wrt http.ResponseWriter, req *http.Request) {
	from, _ := strconv.Atoi(req.FormValue("from"))
	eng := ept.engine
	eng.mtx.Lock()
	gen, ok := eng.streams[req.PathValue("attempt")]
	eng.mtx.Unlock()
	if !ok || from < gen.run.From {
		wire.WriteJSON(wrt, http.StatusNotFound, wire.ErrorBody{Error: "no such stream"})
		return
	}
	ept.stream(wrt, req, gen, from)
}

func (ept *Endpoint) cancel(wrt http.ResponseWriter, req *http.Request) {
	eng := ept.engine
	eng.mtx.Lock()
	gen, ok := eng.streams[req.PathValue("attempt")]
	delete(eng.streams, req.PathValue("attempt"))
	eng.mtx.Unlock()
	if ok {
		gen.stop()
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.ErrorBody{})
}

// start begins a generation, which goes on when its reader is gone, so that it
// can be resumed.
func (eng *engine) start(run wire.Run) (*generation, bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.running >= eng.batch*4 {
		return nil, false
	}
	want := run.MaxTokens
	if want <= 0 {
		want = defaultTokens
	}
	life := max(run.BudgetMs.Duration(), time.Second) + streamLife
	ctx, stop := context.WithTimeout(context.Background(), life)
	gen := &generation{run: run, began: time.Now(), have: run.From, want: max(want, run.From), grown: make(chan struct{}), stop: stop}
	eng.streams[run.Attempt] = gen
	eng.running++
	eng.active[run.Attempt] = gen
	warm := eng.touch(Prefix(run.JoinInputs()))
	go eng.work(ctx, gen, warm)
	return gen, true
}

// Prefix hashes the part of a prompt that engines cache.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), 128)])
}

func (eng *engine) touch(prefix uint64) bool {
	if eng.cached[prefix] {
		return true
	}
	eng.cached[prefix] = true
	eng.order = append(eng.order, prefix)
	if len(eng.order) > cacheSize {
		gone := eng.order[0]
		eng.order = eng.order[1:]
		delete(eng.cached, gone)
		eng.evicted = append(eng.evicted, gone)
	}
	return false
}

func (eng *engine) takeEvicted() []uint64 {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	gone := eng.evicted
	eng.evicted = nil
	return gone
}

// work advances a generation. A fuller batch makes steps a little longer; a
// cold prompt costs three steps before the first token.
func (eng *engine) work(ctx context.Context, gen *generation, warm bool) {
	defer eng.finish(gen)
	if !warm {
		wait(ctx, 3*eng.stepMs)
	}
	for gen.have < gen.want && ctx.Err() == nil {
		eng.mtx.Lock()
		extra := eng.stepMs * int64(eng.running) / int64(2*eng.batch)
		eng.mtx.Unlock()
		wait(ctx, eng.stepMs+extra)
		if !eng.inBatch(gen) {
			continue
		}
		gen.mtx.Lock()
		gen.have++
		gen.wake()
		gen.mtx.Unlock()
	}
}

// inBatch tells whether a stream is among those that this step advances: so many
// of the highest priority, older ones first.
func (eng *engine) inBatch(gen *generation) bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	ahead := 0
	for _, oth := range eng.active {
		higher := oth.run.Priority > gen.run.Priority
		older := oth.run.Priority == gen.run.Priority && oth.began.Before(gen.began)
		if higher || older {
			ahead++
		}
	}
	return ahead < eng.batch
}

func (eng *engine) finish(gen *generation) {
	eng.mtx.Lock()
	eng.running--
	delete(eng.active, gen.run.Attempt)
	eng.mtx.Unlock()
	gen.mtx.Lock()
	gen.stopped = gen.have < gen.want
	gen.wake()
	gen.mtx.Unlock()
	time.AfterFunc(streamLife, func() {
		eng.mtx.Lock()
		defer eng.mtx.Unlock()
		if eng.streams[gen.run.Attempt] == gen {
			delete(eng.streams, gen.run.Attempt)
		}
		gen.stop()
	})
}

// wake tells the readers; gen.mtx is held.
func (gen *generation) wake() {
	close(gen.grown)
	gen.grown = make(chan struct{})
}

func (ept *Endpoint) stream(wrt http.ResponseWriter, req *http.Request, gen *generation, from int) {
	ept.count(1)
	defer ept.count(-1)
	ept.headers(wrt)
	wrt.Header().Set("Content-Type", "text/event-stream")
	wrt.WriteHeader(http.StatusOK)
	cutting := ept.faults.get().CutStreams > 0 && ept.faults.use(func(flt *Faults) *int { return &flt.CutStreams })
	attempt := gen.run.Attempt
	if ept.faults.use(func(flt *Faults) *int { return &flt.WrongAttempt }) {
		attempt = strings.Repeat("0", len(attempt))
	}
	for sent := 0; ; from, sent = from+1, sent+1 {
		if cutting && sent >= ept.faults.get().CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !gen.await(req.Context(), from) {
			break
		}
		tok := wire.Token{Attempt: attempt, Index: from, Text: TokenAt(gen.run.JoinInputs(), from)}
		if wire.WriteEvent(wrt, wire.EventToken, tok) != nil {
			return
		}
	}
	gen.mtx.Lock()
	whole := gen.have >= gen.want
	gen.mtx.Unlock()
	if whole && req.Context().Err() == nil {
		end := wire.End{Attempt: attempt, Count: gen.want, EngineMs: clock.FromDuration(time.Since(gen.began))}
		_ = wire.WriteEvent(wrt, wire.EventEnd, end)
	}
}

// await waits for the token at an index; false when there will be none.
func (gen *generation) await(ctx context.Context, index int) bool {
	for {
		gen.mtx.Lock()
		have, want, stopped, grown := gen.have, gen.want, gen.stopped, gen.grown
		gen.mtx.Unlock()
		if index < have {
			return true
		}
		if index >= want || stopped {
			return false
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}
