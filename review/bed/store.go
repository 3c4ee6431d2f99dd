package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: the part of its protocol that the instances use.
type store struct {
	mtx    sync.Mutex
	topics map[string][]entry
	// changed is closed and replaced with each append.
	changed chan struct{}
}

// entry is a record of a keyed topic.
type entry struct {
	key   string
	value []byte
}

// maxItems bounds a page of the newest records.
const maxItems = 500

func newStore() *store { return &store{topics: map[string][]entry{}, changed: make(chan struct{})} }

// startStore starts the store and returns its address.
func (bed *testbed) startStore(sto *store) (string, error) {
	lsn, err := bed.listen(1)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", sto.newest)
	mux.HandleFunc("GET /-/log-read", sto.read)
	mux.HandleFunc("POST /-/log-append", sto.append)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(lsn) }()
	return lsn.Addr().String(), nil
}

// put writes the newest record of a key; the return is the store's acknowledgement.
func (sto *store) put(topic, key string, val any) {
	text, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	sto.add(topic, entry{key: key, value: text})
}

func (sto *store) add(topic string, recs ...entry) (end int) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.topics[topic] = append(sto.topics[topic], recs...)
	close(sto.changed)
	sto.changed = make(chan struct{})
	return len(sto.topics[topic])
}

func (sto *store) state(topic string) (recs []entry, changed <-chan struct{}) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	return sto.topics[topic], sto.changed
}

func (sto *store) newest(wrt http.ResponseWriter, req *http.Request) {
	recs, _ := sto.state(req.URL.Query().Get("topic"))
	last := map[string]int{}
	for i, rec := range recs {
		last[rec.key] = i
	}
	keys := make([]string, 0, len(last))
	for key, i := range last {
		if recs[i].value != nil && key > req.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(recs[last[key]].value), "offset": last[key]})
	}
	writeJSON(wrt, map[string]any{"items": items, "hasMore": len(keys) > maxItems, "end": len(recs)})
}

func (sto *store) read(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		recs, changed := sto.state(query.Get("topic"))
		if len(recs) <= from {
			select {
			case <-changed:
				continue
			case <-expired:
			case <-req.Context().Done():
				return
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, rec := range recs[min(from, len(recs)):] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
			body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
		}
		_, _ = wrt.Write(body)
		return
	}
}

func (sto *store) append(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	var recs []entry
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		rec, key := body[4:4+size], int(body[4])
		one := entry{key: string(rec[1 : 1+key])}
		if val := rec[1+key:]; len(val) > 0 {
			one.value = val
		}
		recs, body = append(recs, one), body[4+size:]
	}
	end := sto.add(req.URL.Query().Get("topic"), recs...)
	writeJSON(wrt, map[string]any{"offset": end - len(recs), "end": end})
}

func writeJSON(wrt http.ResponseWriter, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(val)
}
