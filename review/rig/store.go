package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of records in an answer to log-newest.
const pageItems = 500

// logRecord is a record of a topic; one without a value drops its key.
type logRecord struct {
	key   string
	value []byte
}

// store is the platform's store: topics with one partition each. It loses nothing and answers at once.
type store struct {
	mtx     sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
	ip      string
	mux     *http.ServeMux
	// lists has the time of the last read of the engines' entries, by the address at which it came.
	lists map[string]time.Time
}

// newStore returns a store at an IP.
func newStore(ip string) *store {
	sto := &store{topics: map[string][]logRecord{}, changed: make(chan struct{}), ip: ip, mux: http.NewServeMux(), lists: map[string]time.Time{}}
	sto.mux.HandleFunc("GET /-/log-newest", sto.newest)
	sto.mux.HandleFunc("GET /-/log-read", sto.read)
	sto.mux.HandleFunc("POST /-/log-append", sto.append)
	return sto
}

// listen returns a new address of the store. Each node has one of its own, by which its calls are told apart.
func (sto *store) listen() (addr string, err error) {
	lsn, err := net.Listen("tcp", sto.ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(lsn, sto.mux) }()
	return lsn.Addr().String(), nil
}

// lastList returns when the entries of the engines were last read at an address.
func (sto *store) lastList(addr string) time.Time {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	return sto.lists[addr]
}

// put writes the newest record of a key, and returns when the store has accepted it.
func (sto *store) put(topic, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.add(topic, logRecord{key: key, value: text})
	return time.Now()
}

// drop drops a key.
func (sto *store) drop(topic, key string) time.Time {
	sto.add(topic, logRecord{key: key})
	return time.Now()
}

func (sto *store) add(topic string, recs ...logRecord) (offset, end int) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	offset = len(sto.topics[topic])
	sto.topics[topic] = append(sto.topics[topic], recs...)
	close(sto.changed)
	sto.changed = make(chan struct{})
	return offset, len(sto.topics[topic])
}

func (sto *store) newest(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	sto.mtx.Lock()
	if query.Get("topic") == topicServers {
		sto.lists[req.Host] = time.Now()
	}
	recs := sto.topics[query.Get("topic")]
	end := len(recs)
	last := map[string]int{}
	for i, rec := range recs {
		last[rec.key] = i
	}
	var keys []string
	for key, i := range last {
		if recs[i].value != nil && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(recs[last[key]].value), "offset": last[key]})
	}
	sto.mtx.Unlock()
	writeJSON(wrt, map[string]any{"items": items, "hasMore": more, "end": end})
}

func (sto *store) read(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		sto.mtx.Lock()
		end, changed := len(sto.topics[query.Get("topic")]), sto.changed
		sto.mtx.Unlock()
		if end > from {
			break
		}
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	sto.mtx.Lock()
	recs := sto.topics[query.Get("topic")]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range recs[min(max(from, 0), len(recs)):] {
		content := append([]byte{byte(len(rec.key))}, rec.key...)
		content = append(content, rec.value...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	sto.mtx.Unlock()
	_, _ = wrt.Write(out)
}

func (sto *store) append(wrt http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	if topic == topicOp || topic == topicServers {
		wrt.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var recs []logRecord
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		rec := logRecord{key: string(content[1 : 1+int(content[0])])}
		if strings.HasPrefix(topic, "keyed.") && size > 1+int(content[0]) {
			rec.value = slices.Clone(content[1+int(content[0]):])
		}
		recs, body = append(recs, rec), body[4+size:]
	}
	offset, end := sto.add(topic, recs...)
	writeJSON(wrt, map[string]any{"offset": offset, "end": end})
}

func writeJSON(wrt http.ResponseWriter, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(val)
}
