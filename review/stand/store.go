package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a topic; keyed topics have a key, and a value unless the key was dropped.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// store is the platform's metadata store, as far as PROTOCOL.md describes what the programs use: appends, held
// reads and the newest record of each key. It is sound: it answers at once and loses nothing.
type store struct {
	mtx    sync.Mutex
	topics map[string][]record
	// changed is closed, and replaced, at each append.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]record{}, changed: make(chan struct{})}
}

// put writes a record as the operator or an engine does, and returns when it is acknowledged.
func (sto *store) put(topic, key string, val any) time.Time {
	var text []byte
	if val != nil {
		var err error
		if text, err = json.Marshal(val); err != nil {
			panic(err)
		}
	}
	sto.append(topic, key, text)
	return time.Now()
}

func (sto *store) append(topic, key string, text []byte) (offset int) {
	content := slices.Concat([]byte{byte(len(key))}, []byte(key), text)
	raw := slices.Concat(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content)
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.topics[topic] = append(sto.topics[topic], record{key: key, value: text, raw: raw})
	close(sto.changed)
	sto.changed = make(chan struct{})
	return len(sto.topics[topic]) - 1
}

// ServeHTTP serves the store's calls.
func (sto *store) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	switch req.Method + " " + req.URL.Path {
	case "POST /-/log-append":
		sto.serveAppend(wrt, req)
	case "GET /-/log-read":
		sto.serveRead(wrt, req)
	case "GET /-/log-newest":
		sto.serveNewest(wrt, query.Get("topic"), query.Get("after"))
	default:
		wrt.WriteHeader(http.StatusNotFound)
	}
}

func (sto *store) serveAppend(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	topic := req.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		wrt.WriteHeader(http.StatusForbidden)
		return
	}
	offset := -1
	for err == nil && len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size < 1 || int(body[4]) > size-1 {
			err = io.ErrUnexpectedEOF
			break
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		keyEnd := 1 + int(content[0])
		var value []byte
		if keyEnd < len(content) {
			value = slices.Clone(content[keyEnd:])
		}
		at := sto.append(topic, string(content[1:keyEnd]), value)
		if offset < 0 {
			offset = at
		}
	}
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mtx.Lock()
	end := len(sto.topics[topic])
	sto.mtx.Unlock()
	writeJSON(wrt, map[string]any{"offset": max(offset, 0), "end": end})
}

func (sto *store) serveRead(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		sto.mtx.Lock()
		recs, changed := sto.topics[query.Get("topic")], sto.changed
		sto.mtx.Unlock()
		done := len(recs) > from
		if !done {
			select {
			case <-changed:
				continue
			case <-over:
			case <-req.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range recs[min(from, len(recs)):] {
			out = append(out, rec.raw...)
		}
		_, _ = wrt.Write(out)
		return
	}
}

func (sto *store) serveNewest(wrt http.ResponseWriter, topic, after string) {
	sto.mtx.Lock()
	recs := slices.Clone(sto.topics[topic])
	sto.mtx.Unlock()
	newest := map[string]int{}
	for i, rec := range recs {
		newest[rec.key] = i
	}
	items := []map[string]any{}
	for i, rec := range recs {
		if newest[rec.key] == i && rec.value != nil && rec.key > after {
			items = append(items, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": i})
		}
	}
	slices.SortFunc(items, func(x, y map[string]any) int { return strings.Compare(x["key"].(string), y["key"].(string)) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(wrt, map[string]any{"items": items, "hasMore": more, "end": len(recs)})
}

func writeJSON(wrt http.ResponseWriter, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(val)
}
