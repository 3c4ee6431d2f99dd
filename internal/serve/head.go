package serve

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// headConn is a caller's connection that inspects the heads of its requests.
//
// A request with both a length and chunks can be read in two ways (RFC 9112, section 6.1), which
// allows request smuggling. net/http goes by the chunks, drops the length without an error and reads
// on: bytes that a proxy in front took for part of the body would be served here as a request that
// no client sent.
//
// net/http doesn't report this, so the bytes are inspected as they arrive. Heads arrive on their own:
// a caller that waits for its responses sends nothing between a request and the end of its response,
// and net/http meanwhile reads a single byte to detect a disconnect. The heads of a caller that
// pipelines may arrive together with the body before them and are not inspected; such a request is
// accepted if it has no chunks, since it then has only one length.
type headConn struct {
	net.Conn
	mtx sync.Mutex
	// head holds the bytes read of the current head; complete is set when all of it was read.
	head     []byte
	complete bool
	// delivered is set once an answer that ends with the connection has been written completely.
	delivered atomic.Bool
}

// maxDiscardedBody is how much of an unread body is discarded to keep the connection usable, in
// bytes. net/http discards as much before it closes the connection instead.
const maxDiscardedBody = 256 << 10

// headConnKey is the context key of a request's connection.
type headConnKey struct{}

// withHeadConn stores the connection in the contexts of its requests.
func withHeadConn(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, headConnKey{}, con)
}

// Read implements net.Conn.
func (hcn *headConn) Read(buf []byte) (int, error) {
	n, err := hcn.Conn.Read(buf)
	hcn.mtx.Lock()
	defer hcn.mtx.Unlock()
	if !hcn.complete && n > 0 {
		hcn.head = append(hcn.head, buf[:n]...)
		end := bytes.Index(hcn.head, []byte("\r\n\r\n"))
		if end >= 0 {
			hcn.head, hcn.complete = hcn.head[:end], true
		}
		if len(hcn.head) > 2*maxRawHeader {
			// net/http refuses a head of this size.
			hcn.head = hcn.head[:0]
		}
	}
	return n, err
}

// nextHead starts a new head with the bytes that arrive from now on.
func (hcn *headConn) nextHead() {
	hcn.mtx.Lock()
	defer hcn.mtx.Unlock()
	hcn.head, hcn.complete = hcn.head[:0], false
}

// hasLength reports whether the current head has a Content-Length; known is false if the head was
// not read completely.
func (hcn *headConn) hasLength() (has, known bool) {
	hcn.mtx.Lock()
	defer hcn.mtx.Unlock()
	for line := range bytes.SplitSeq(hcn.head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true, hcn.complete
		}
	}
	return false, hcn.complete
}

// Ambiguous reports whether the end of a request can be read in two ways, or whether that can't be
// ruled out. Such a request must be refused and its connection closed.
func Ambiguous(req *http.Request) bool {
	hcn, ok := req.Context().Value(headConnKey{}).(*headConn)
	if !ok || len(req.TransferEncoding) == 0 {
		return false
	}
	has, known := hcn.hasLength()
	return has || !known
}

// inspectHeads wraps a handler so that the heads of its requests can be inspected one at a time. It
// discards what the handler left unread of a body, as net/http would do afterwards, so that it does
// not become part of the next head. Nothing is read from a caller that waits for "100 Continue", since
// it may never send its body; net/http closes its connection.
func inspectHeads(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		hcn, ok := req.Context().Value(headConnKey{}).(*headConn)
		if !ok {
			handler.ServeHTTP(wrt, req)
			return
		}
		// Unblocks a handler that still reads the body when the request is cancelled.
		stop := context.AfterFunc(req.Context(), func() { _ = hcn.SetReadDeadline(time.Now()) })
		handler.ServeHTTP(wrt, req)
		stop()
		if req.Header.Get("Expect") == "" {
			_, _ = io.CopyN(io.Discard, req.Body, maxDiscardedBody)
		}
		hcn.nextHead()
	})
}
