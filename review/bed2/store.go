package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic; a nil value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's metadata store: the keyed topics that the system uses, linearizable, nothing
// expires.
type store struct {
	mtx    sync.Mutex
	topics map[string][]storeRecord
	grown  chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, grown: make(chan struct{})}
}

// add appends records all or nothing, and returns the offset of the first one and the end.
func (sto *store) add(topic string, recs ...storeRecord) (offset, end int) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	offset = len(sto.topics[topic])
	sto.topics[topic] = append(sto.topics[topic], recs...)
	close(sto.grown)
	sto.grown = make(chan struct{})
	return offset, len(sto.topics[topic])
}

// put writes one record as JSON.
func (sto *store) put(topic, key string, val any) {
	text, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	sto.add(topic, storeRecord{key: key, value: text})
}

func (sto *store) end(topic string) (int, <-chan struct{}) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	return len(sto.topics[topic]), sto.grown
}

func (sto *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", sto.serveNewest)
	mux.HandleFunc("GET /-/log-read", sto.serveRead)
	mux.HandleFunc("POST /-/log-append", sto.serveAppend)
	return mux
}

func (sto *store) serveNewest(wrt http.ResponseWriter, req *http.Request) {
	sto.mtx.Lock()
	recs := sto.topics[req.URL.Query().Get("topic")]
	sto.mtx.Unlock()
	last := map[string]int{}
	for i, rec := range recs {
		last[rec.key] = i
	}
	items := []map[string]any{}
	for i, rec := range recs {
		if last[rec.key] == i && rec.value != nil {
			items = append(items, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": i})
		}
	}
	writeJSON(wrt, map[string]any{"items": items, "hasMore": false, "end": len(recs)})
}

func (sto *store) serveRead(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		end, grown := sto.end(topic)
		if end > from {
			break
		}
		select {
		case <-grown:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	sto.mtx.Lock()
	recs := sto.topics[topic]
	sto.mtx.Unlock()
	out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range recs[min(max(from, 0), len(recs)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	_, _ = wrt.Write(out)
}

func (sto *store) serveAppend(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var recs []storeRecord
	for len(body) > 0 {
		if len(body) < 5 {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := storeRecord{key: string(body[5 : 5+int(body[4])])}
		if val := body[5+int(body[4]) : 4+size]; len(val) > 0 {
			rec.value = append([]byte(nil), val...)
		}
		recs, body = append(recs, rec), body[4+size:]
	}
	offset, end := sto.add(req.URL.Query().Get("topic"), recs...)
	writeJSON(wrt, map[string]any{"offset": offset, "end": end})
}

func writeJSON(wrt http.ResponseWriter, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(val)
}
