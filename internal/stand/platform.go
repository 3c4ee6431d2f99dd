package stand

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/oplog"
)

// Limits of the platform's stand-in.
const (
	appendsPerSecond = 300
	readMax          = 1000
	// listTTL is how long a line of the instance list outlives its last
	// renewal.
	listTTL = 10 * clock.Second
)

// Platform stands in for the log service, the instance list and the weight
// store.
type Platform struct {
	clk       clock.Clock
	retention clock.Milli
	listLag   clock.Milli
	faults    faulty
	lists     faulty
	appends   *rate.Limiter
	weights   *rate.Limiter

	mtx       sync.Mutex
	streams   map[string]*stream
	instances map[string]listed
	shown     []wire.Instance
	shownAt   clock.Milli
}

type stream struct {
	first   int64
	records []oplog.Record
	grown   chan struct{}
	// held are records of appends that are held.
	held []json.RawMessage
}

type listed struct {
	inst wire.Instance
	at   clock.Milli
}

// NewPlatform returns a platform that keeps records for retention and whose
// instance list shows what was true listLag ago.
func NewPlatform(clk clock.Clock, retention, listLag clock.Milli) *Platform {
	return &Platform{
		clk: clk, retention: retention, listLag: listLag,
		appends: rate.NewLimiter(appendsPerSecond, appendsPerSecond),
		weights: rate.NewLimiter(1, 2),
		streams: map[string]*stream{}, instances: map[string]listed{},
	}
}

// Handler serves the platform's protocol.
func (plt *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", plt.faults.guard(plt.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", plt.faults.guard(plt.read))
	mux.HandleFunc("GET /v1/instances", plt.lists.guard(plt.list))
	mux.HandleFunc("PUT /v1/instances/{id}", plt.lists.guard(plt.put))
	mux.HandleFunc("DELETE /v1/instances/{id}", plt.lists.guard(plt.remove))
	mux.HandleFunc("GET /v1/weights/{model}", plt.faults.guard(plt.weight))
	mux.HandleFunc("/v1/faults", plt.faults.handle)
	mux.HandleFunc("/v1/faults/list", plt.lists.handle)
	mux.HandleFunc("POST /v1/trim", plt.trimNow)
	return mux
}

// SetFaults switches faults of the log on and off.
func (plt *Platform) SetFaults(flt Faults) { plt.faults.set(flt) }

// Held gives the records of a stream whose appends are held, for tests.
func (plt *Platform) Held(name string) []json.RawMessage {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	return append([]json.RawMessage(nil), plt.stream(name).held...)
}

// SetListFaults switches faults of the instance list on and off.
func (plt *Platform) SetListFaults(flt Faults) { plt.lists.set(flt) }

// Records gives a stream's records, for tests.
func (plt *Platform) Records(name string) []oplog.Record {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	return append([]oplog.Record(nil), plt.stream(name).records...)
}

// Trim forgets all records of a stream but the newest keep.
func (plt *Platform) Trim(name string, keep int) {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str := plt.stream(name)
	cut := max(0, len(str.records)-keep)
	str.drop(cut)
}

func (str *stream) drop(n int) {
	str.records = append([]oplog.Record(nil), str.records[n:]...)
	str.first += int64(n)
}

func (plt *Platform) stream(name string) *stream {
	str, ok := plt.streams[name]
	if !ok {
		str = &stream{first: 1, grown: make(chan struct{})}
		plt.streams[name] = str
	}
	return str
}

func (plt *Platform) append(wrt http.ResponseWriter, req *http.Request) {
	var app wire.Append
	if err := wire.ReadJSON(req.Body, 8<<20, &app); err != nil || len(app.Bodies) == 0 {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: "no bodies"})
		return
	}
	if !plt.appends.AllowN(plt.clk.Now().Time(), 1) {
		wrt.Header().Set("Retry-After", "1")
		wire.WriteJSON(wrt, http.StatusTooManyRequests, wire.ErrorBody{Error: "too many appends"})
		return
	}
	plt.hold(req.PathValue("stream"), app.Bodies)
	first := plt.take(req.PathValue("stream"), app.Bodies)
	plt.faults.cutReply()
	wire.WriteJSON(wrt, http.StatusOK, wire.Appended{First: first})
}

// hold waits while appends are held, whatever becomes of who sent them.
func (plt *Platform) hold(name string, bodies []json.RawMessage) {
	release := plt.faults.held()
	if release == nil {
		return
	}
	plt.mtx.Lock()
	str := plt.stream(name)
	str.held = append(str.held, bodies...)
	plt.mtx.Unlock()
	<-release
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str.held = nil
}

func (plt *Platform) take(name string, bodies []json.RawMessage) int64 {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str := plt.stream(name)
	first := str.end()
	for _, body := range bodies {
		str.records = append(str.records, oplog.Record{Offset: str.end(), At: plt.clk.Now(), Body: body})
	}
	close(str.grown)
	str.grown = make(chan struct{})
	return first
}

func (str *stream) end() int64 { return str.first + int64(len(str.records)) }

func (plt *Platform) read(wrt http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.FormValue("from"), 10, 64)
	if err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: "from: not a number"})
		return
	}
	wait, _ := strconv.ParseInt(req.FormValue("wait_ms"), 10, 64)
	bat, grown := plt.batch(req.PathValue("stream"), from)
	if len(bat.Records) == 0 && from >= bat.Start && wait > 0 {
		select {
		case <-grown:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
		}
		plt.faults.pause(req)
		if plt.faults.get().Outage {
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "outage"})
			return
		}
		bat, _ = plt.batch(req.PathValue("stream"), from)
	}
	if from < bat.Start {
		wire.WriteJSON(wrt, http.StatusGone, wire.Trimmed{Start: bat.Start, End: bat.End})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, bat)
}

func (plt *Platform) batch(name string, from int64) (oplog.Batch, chan struct{}) {
	hide := plt.faults.get().OldEnd
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str := plt.stream(name)
	plt.expire(str)
	recs := str.records[:max(0, len(str.records)-hide)]
	bat := oplog.Batch{Start: str.first, End: str.first + int64(len(recs)), Records: []oplog.Record{}}
	if idx := from - str.first; idx >= 0 && idx < int64(len(recs)) {
		recs = recs[idx:]
		bat.Records = append(bat.Records, recs[:min(len(recs), readMax)]...)
	}
	return bat, str.grown
}

func (plt *Platform) expire(str *stream) {
	old := plt.clk.Now() - plt.retention
	n := sort.Search(len(str.records), func(i int) bool { return str.records[i].At > old })
	if n > 0 {
		str.drop(n)
	}
}

func (plt *Platform) trimNow(wrt http.ResponseWriter, req *http.Request) {
	keep, _ := strconv.Atoi(req.FormValue("keep"))
	plt.Trim(req.FormValue("stream"), keep)
	wire.WriteJSON(wrt, http.StatusOK, wire.ErrorBody{})
}

func (plt *Platform) list(wrt http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(wrt, http.StatusOK, wire.Instances{Instances: plt.lagging()})
}

// lagging gives the list as it was made at most listLag ago.
func (plt *Platform) lagging() []wire.Instance {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	now := plt.clk.Now()
	if plt.shown != nil && now-plt.shownAt < plt.listLag {
		return plt.shown
	}
	plt.shown, plt.shownAt = []wire.Instance{}, now
	for id, lst := range plt.instances {
		if now-lst.at > listTTL {
			delete(plt.instances, id)
			continue
		}
		plt.shown = append(plt.shown, lst.inst)
	}
	sort.Slice(plt.shown, func(i, j int) bool { return plt.shown[i].ID < plt.shown[j].ID })
	return plt.shown
}

func (plt *Platform) put(wrt http.ResponseWriter, req *http.Request) {
	var inst wire.Instance
	if err := wire.ReadJSON(req.Body, 1<<16, &inst); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	inst.ID = req.PathValue("id")
	plt.mtx.Lock()
	plt.instances[inst.ID] = listed{inst: inst, at: plt.clk.Now()}
	plt.mtx.Unlock()
	wire.WriteJSON(wrt, http.StatusOK, inst)
}

func (plt *Platform) remove(wrt http.ResponseWriter, req *http.Request) {
	plt.mtx.Lock()
	delete(plt.instances, req.PathValue("id"))
	plt.mtx.Unlock()
	wire.WriteJSON(wrt, http.StatusOK, wire.ErrorBody{})
}

func (plt *Platform) weight(wrt http.ResponseWriter, req *http.Request) {
	if !plt.weights.Allow() {
		wrt.Header().Set("Retry-After", "1")
		wire.WriteJSON(wrt, http.StatusTooManyRequests, wire.ErrorBody{Error: "too many loads"})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.Order{Model: req.PathValue("model")})
}
