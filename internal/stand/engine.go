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
	// cacheSize is the maximum number of prompt prefixes in an engine's cache.
	cacheSize = 64
	// streamLife is the time during which a finished or abandoned stream can be resumed.
	streamLife = 30 * time.Second
)

// engine generates tokens for an endpoint: each step advances the streams of its batch by
// one token.
type engine struct {
	stepMs     int64
	batch      int
	mtx        sync.Mutex
	streams    map[string]*generation
	running    int
	active     map[string]*generation
	cacheOrder []uint64
	cached     map[uint64]bool
	evicted    []uint64
}

// generation is one stream. Its tokens depend only on the prompt and the index, so that any
// engine can continue the stream of another.
type generation struct {
	run       wire.Run
	startedAt time.Time
	mtx       sync.Mutex
	generated int
	target    int
	grown     chan struct{}
	stop      context.CancelFunc
	stopped   bool
}

// NewEngine returns a model engine with steps of stepMs and a batch of up to batch streams.
func NewEngine(id string, stepMs int64, batch int) *Endpoint {
	ept := NewEndpoint(id, stepMs, batch)
	ept.engine = &engine{stepMs: stepMs, batch: batch, streams: map[string]*generation{}, active: map[string]*generation{}, cached: map[uint64]bool{}}
	return ept
}

// TokenAt returns the token that any engine generates for a prompt at an index.
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
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "engine has too many streams"})
		return
	}
	ept.record(Execution{Attempt: run.Attempt, RequestID: run.RequestID, Workspace: run.Workspace, Input: run.JoinInputs(), Tokens: gen.target - run.From})
	ept.stream(wrt, req, gen, run.From)
}

func (ept *Endpoint) resume(wrt http.ResponseWriter, req *http.Request) {
	from, _ := strconv.Atoi(req.FormValue("from"))
	eng := ept.engine
	eng.mtx.Lock()
	gen, ok := eng.streams[req.PathValue("attempt")]
	eng.mtx.Unlock()
	if !ok || from < gen.run.From {
		wire.WriteJSON(wrt, http.StatusNotFound, wire.ErrorBody{Error: "no such stream, or it begins after the requested index"})
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

// start starts a generation. It continues after its reader has disconnected, so that the
// stream can be resumed.
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
	gen := &generation{run: run, startedAt: time.Now(), generated: run.From, target: max(want, run.From), grown: make(chan struct{}), stop: stop}
	eng.streams[run.Attempt] = gen
	eng.running++
	eng.active[run.Attempt] = gen
	warm := eng.touch(Prefix(run.JoinInputs()))
	go eng.advance(ctx, gen, warm)
	return gen, true
}

// Prefix returns the hash of the part of a prompt that engines cache.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), 128)])
}

// touch caches a prefix, evicting the oldest one if the cache is full, and reports whether the
// prefix was cached before.
func (eng *engine) touch(prefix uint64) bool {
	if eng.cached[prefix] {
		return true
	}
	eng.cached[prefix] = true
	eng.cacheOrder = append(eng.cacheOrder, prefix)
	if len(eng.cacheOrder) > cacheSize {
		oldest := eng.cacheOrder[0]
		eng.cacheOrder = eng.cacheOrder[1:]
		delete(eng.cached, oldest)
		eng.evicted = append(eng.evicted, oldest)
	}
	return false
}

func (eng *engine) takeEvicted() []uint64 {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	evicted := eng.evicted
	eng.evicted = nil
	return evicted
}

// advance generates the tokens of a stream. Steps take longer the fuller the batch is; a
// cold prompt costs three steps before the first token.
func (eng *engine) advance(ctx context.Context, gen *generation, warm bool) {
	defer eng.finish(gen)
	if !warm {
		sleep(ctx, 3*eng.stepMs)
	}
	for gen.generated < gen.target && ctx.Err() == nil {
		eng.mtx.Lock()
		extra := eng.stepMs * int64(eng.running) / int64(2*eng.batch)
		eng.mtx.Unlock()
		sleep(ctx, eng.stepMs+extra)
		if !eng.inBatch(gen) {
			continue
		}
		gen.mtx.Lock()
		gen.generated++
		gen.wake()
		gen.mtx.Unlock()
	}
}

// inBatch reports whether the next step advances a stream: the batch takes the streams of the
// highest priority, among equal ones the oldest.
func (eng *engine) inBatch(gen *generation) bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	ahead := 0
	for _, oth := range eng.active {
		higher := oth.run.Priority > gen.run.Priority
		older := oth.run.Priority == gen.run.Priority && oth.startedAt.Before(gen.startedAt)
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
	gen.stopped = gen.generated < gen.target
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

// wake wakes the readers; the caller holds gen.mtx.
func (gen *generation) wake() {
	close(gen.grown)
	gen.grown = make(chan struct{})
}

func (ept *Endpoint) stream(wrt http.ResponseWriter, req *http.Request, gen *generation, from int) {
	ept.count(1)
	defer ept.count(-1)
	ept.setHeaders(wrt)
	wrt.Header().Set("Content-Type", "text/event-stream")
	wrt.WriteHeader(http.StatusOK)
	cutting := ept.faults.get().CutStreams > 0 && ept.faults.take(func(flt *Faults) *int { return &flt.CutStreams })
	attempt := gen.run.Attempt
	if ept.faults.take(func(flt *Faults) *int { return &flt.WrongAttempt }) {
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
	complete := gen.generated >= gen.target
	gen.mtx.Unlock()
	if complete && req.Context().Err() == nil {
		end := wire.End{Attempt: attempt, Count: gen.target, EngineMs: clock.FromDuration(time.Since(gen.startedAt))}
		_ = wire.WriteEvent(wrt, wire.EventEnd, end)
	}
}

// await waits for the token at an index; false if it will not be generated or the reader
// has disconnected.
func (gen *generation) await(ctx context.Context, index int) bool {
	for {
		gen.mtx.Lock()
		have, want, stopped, grown := gen.generated, gen.target, gen.stopped, gen.grown
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
