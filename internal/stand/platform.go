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

// Limits of the platform.
const (
	appendsPerSecond = 300
	maxReadRecords   = 1000
	// listTTL is the time after its last renewal at which an entry of the instance list
	// expires.
	listTTL = 10 * clock.Second
)

// Platform is a test double of the log service, the instance list and the weight store.
type Platform struct {
	clk        clock.Clock
	retention  clock.Milli
	listLag    clock.Milli
	logFaults  faultState
	listFaults faultState
	appends    *rate.Limiter
	weights    *rate.Limiter

	mtx        sync.Mutex
	streams    map[string]*stream
	instances  map[string]listEntry
	lastList   []wire.Instance
	lastListAt clock.Milli
}

type stream struct {
	first   int64
	records []oplog.Record
	grown   chan struct{}
	// pending are the records whose appends are held back.
	pending []json.RawMessage
}

type listEntry struct {
	inst      wire.Instance
	renewedAt clock.Milli
}

// NewPlatform returns a platform that retains records for retention and whose instance list
// is up to listLag old.
func NewPlatform(clk clock.Clock, retention, listLag clock.Milli) *Platform {
	return &Platform{
		clk: clk, retention: retention, listLag: listLag,
		appends: rate.NewLimiter(appendsPerSecond, appendsPerSecond),
		weights: rate.NewLimiter(1, 2),
		streams: map[string]*stream{}, instances: map[string]listEntry{},
	}
}

// Handler serves the platform's protocol.
func (plt *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", plt.logFaults.guard(plt.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", plt.logFaults.guard(plt.read))
	mux.HandleFunc("GET /v1/instances", plt.listFaults.guard(plt.list))
	mux.HandleFunc("PUT /v1/instances/{id}", plt.listFaults.guard(plt.put))
	mux.HandleFunc("DELETE /v1/instances/{id}", plt.listFaults.guard(plt.remove))
	mux.HandleFunc("GET /v1/weights/{model}", plt.logFaults.guard(plt.weight))
	mux.HandleFunc("/v1/faults", plt.logFaults.handle)
	mux.HandleFunc("/v1/faults/list", plt.listFaults.handle)
	mux.HandleFunc("POST /v1/trim", plt.trimNow)
	return mux
}

// SetFaults replaces the faults of the log and the weight store.
func (plt *Platform) SetFaults(flt Faults) { plt.logFaults.set(flt) }

// PendingAppends returns a stream's records whose appends are held back, for tests.
func (plt *Platform) PendingAppends(name string) []json.RawMessage {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	return append([]json.RawMessage(nil), plt.stream(name).pending...)
}

// SetListFaults replaces the faults of the instance list.
func (plt *Platform) SetListFaults(flt Faults) { plt.listFaults.set(flt) }

// Records returns a stream's records, for tests.
func (plt *Platform) Records(name string) []oplog.Record {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	return append([]oplog.Record(nil), plt.stream(name).records...)
}

// Trim removes all records of a stream except the newest ones, whose number is
// keep.
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
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: "append is not valid JSON or has no bodies"})
		return
	}
	if !plt.appends.AllowN(plt.clk.Now().Time(), 1) {
		wrt.Header().Set("Retry-After", "1")
		wire.WriteJSON(wrt, http.StatusTooManyRequests, wire.ErrorBody{Error: "rate limit of appends exceeded"})
		return
	}
	plt.holdAppend(req.PathValue("stream"), app.Bodies)
	first := plt.commit(req.PathValue("stream"), app.Bodies)
	plt.logFaults.loseReply()
	wire.WriteJSON(wrt, http.StatusOK, wire.Appended{First: first})
}

// holdAppend waits while appends are held back, even if their sender has disconnected.
func (plt *Platform) holdAppend(name string, bodies []json.RawMessage) {
	release := plt.logFaults.appendsReleased()
	if release == nil {
		return
	}
	plt.mtx.Lock()
	str := plt.stream(name)
	str.pending = append(str.pending, bodies...)
	plt.mtx.Unlock()
	<-release
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str.pending = nil
}

func (plt *Platform) commit(name string, bodies []json.RawMessage) int64 {
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
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: "from: not an integer"})
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
		plt.logFaults.delay(req)
		if plt.logFaults.get().Outage {
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
	hide := plt.logFaults.get().HideNewest
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	str := plt.stream(name)
	plt.expire(str)
	recs := str.records[:max(0, len(str.records)-hide)]
	bat := oplog.Batch{Start: str.first, End: str.first + int64(len(recs)), Records: []oplog.Record{}}
	if idx := from - str.first; idx >= 0 && idx < int64(len(recs)) {
		recs = recs[idx:]
		bat.Records = append(bat.Records, recs[:min(len(recs), maxReadRecords)]...)
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
	wire.WriteJSON(wrt, http.StatusOK, wire.Instances{Instances: plt.laggedList()})
}

// laggedList returns the instance list, which is up to listLag old.
func (plt *Platform) laggedList() []wire.Instance {
	plt.mtx.Lock()
	defer plt.mtx.Unlock()
	now := plt.clk.Now()
	if plt.lastList != nil && now-plt.lastListAt < plt.listLag {
		return plt.lastList
	}
	plt.lastList, plt.lastListAt = []wire.Instance{}, now
	for id, lst := range plt.instances {
		if now-lst.renewedAt > listTTL {
			delete(plt.instances, id)
			continue
		}
		plt.lastList = append(plt.lastList, lst.inst)
	}
	sort.Slice(plt.lastList, func(i, j int) bool { return plt.lastList[i].ID < plt.lastList[j].ID })
	return plt.lastList
}

func (plt *Platform) put(wrt http.ResponseWriter, req *http.Request) {
	var inst wire.Instance
	if err := wire.ReadJSON(req.Body, 1<<16, &inst); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	inst.ID = req.PathValue("id")
	plt.mtx.Lock()
	plt.instances[inst.ID] = listEntry{inst: inst, renewedAt: plt.clk.Now()}
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
		wire.WriteJSON(wrt, http.StatusTooManyRequests, wire.ErrorBody{Error: "rate limit of weight loads exceeded"})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.Order{Model: req.PathValue("model")})
}
