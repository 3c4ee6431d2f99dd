package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// obj is the JSON text of a message.
type obj map[string]any

// logRecord is a record of a keyed topic; a nil value drops the key.
type logRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store, with the calls that the system uses.
type store struct {
	addr string
	srv  *http.Server

	mtx    sync.Mutex
	topics map[string][]logRecord
	grown  chan struct{}
	// listed is when each caller last read the list of the engines.
	listed map[string]time.Time
}

func newStore() (*store, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto := &store{addr: lsn.Addr().String(), topics: map[string][]logRecord{}, grown: make(chan struct{}), listed: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", sto.newest)
	mux.HandleFunc("GET /-/log-read", sto.read)
	mux.HandleFunc("POST /-/log-append", sto.appendCall)
	sto.srv = &http.Server{Handler: mux}
	go func() { _ = sto.srv.Serve(lsn) }()
	return sto, nil
}

// listenFor opens another address of the store, by which it knows its caller.
func (sto *store) listenFor() (string, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = sto.srv.Serve(lsn) }()
	return lsn.Addr().String(), nil
}

// lastLists returns when each caller, by the address of the store that it uses, last read the list of the engines.
func (sto *store) lastLists() map[string]time.Time {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	return maps.Clone(sto.listed)
}

// put writes a record of the operator or of an engine; a nil value removes it.
func (sto *store) put(topic, key string, val any) {
	var text []byte
	if val != nil {
		text, _ = json.Marshal(val)
	}
	sto.add(topic, logRecord{key: key, value: text})
}

func (sto *store) add(topic string, recs ...logRecord) (first, end int) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	first = len(sto.topics[topic])
	sto.topics[topic] = append(sto.topics[topic], recs...)
	close(sto.grown)
	sto.grown = make(chan struct{})
	return first, len(sto.topics[topic])
}

func (sto *store) newest(wrt http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	sto.mtx.Lock()
	recs := sto.topics[topic]
	if topic == topicServers {
		sto.listed[req.Host] = time.Now()
	}
	sto.mtx.Unlock()
	last := map[string]int{}
	for i, rec := range recs {
		last[rec.key] = i
	}
	items := []obj{}
	for i, rec := range recs {
		if last[rec.key] == i && rec.value != nil {
			items = append(items, obj{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": i})
		}
	}
	writeJSON(wrt, http.StatusOK, obj{"items": items, "hasMore": false, "end": len(recs)})
}

func (sto *store) read(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	tmr := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer tmr.Stop()
	for waiting := true; waiting; {
		sto.mtx.Lock()
		end, grown := len(sto.topics[query.Get("topic")]), sto.grown
		sto.mtx.Unlock()
		if end > from {
			break
		}
		select {
		case <-grown:
		case <-tmr.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	sto.mtx.Lock()
	recs := sto.topics[query.Get("topic")]
	sto.mtx.Unlock()
	out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range recs[min(max(from, 0), len(recs)):] {
		out = append(out, rec.encode()...)
	}
	_, _ = wrt.Write(out)
}

func (rec logRecord) encode() []byte {
	body := append([]byte{byte(len(rec.key))}, rec.key...)
	body = append(body, rec.value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func (sto *store) appendCall(wrt http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	body, err := io.ReadAll(req.Body)
	if err != nil || !strings.HasPrefix(topic, "keyed.") {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == topicOperator || topic == topicServers {
		wrt.WriteHeader(http.StatusForbidden)
		return
	}
	var recs []logRecord
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || int(body[4]) > size-1 {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		part := body[5 : 4+size]
		rec := logRecord{key: string(part[:body[4]])}
		if val := part[body[4]:]; len(val) > 0 {
			rec.value = append([]byte{}, val...)
		}
		recs = append(recs, rec)
		body = body[4+size:]
	}
	first, end := sto.add(topic, recs...)
	writeJSON(wrt, http.StatusOK, obj{"offset": first, "end": end})
}

// Topics of the operator and of the engines.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

func writeJSON(wrt http.ResponseWriter, status int, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(val)
}
