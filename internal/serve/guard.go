package serve

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// guard is a caller's connection that looks at the heads of its requests.
//
// A request with a length and with chunks can be read in two ways (RFC 9112, section
// 6.1). net/http goes by the chunks, drops the length without a word and reads on: what a
// proxy before us took for the rest of the body is served here as a request that nobody
// sent. The library tells neither, so the bytes are looked at as they come. Heads come
// alone: a caller that waits for its answers sends nothing between a request and the end
// of its answer, but for the byte that net/http reads meanwhile to see whether the caller
// is still there. Those of a caller that doesn't wait may come with the body before them
// and are not seen; such a request is taken if it has no chunks, and so no two lengths.
type guard struct {
	net.Conn
	mtx sync.Mutex
	// head is what was read of the present head; seen tells that all of it was.
	head []byte
	seen bool
}

// restRead is how much of a body that nobody read is read for the sake of the connection,
// in bytes: as much as net/http does before it closes instead.
const restRead = 256 << 10

// guardKey finds a request's connection in its context.
type guardKey struct{}

// withGuard keeps the connection in the contexts of its requests.
func withGuard(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, con)
}

// Read implements net.Conn.
func (grd *guard) Read(buf []byte) (int, error) {
	n, err := grd.Conn.Read(buf)
	grd.mtx.Lock()
	defer grd.mtx.Unlock()
	if !grd.seen && n > 0 {
		grd.head = append(grd.head, buf[:n]...)
		end := bytes.Index(grd.head, []byte("\r\n\r\n"))
		if end >= 0 {
			grd.head, grd.seen = grd.head[:end], true
		}
		if len(grd.head) > 2*headerRoom {
			// net/http refuses a head of this size.
			grd.head = grd.head[:0]
		}
	}
	return n, err
}

// next makes the bytes that come from now on those of the next head.
func (grd *guard) next() {
	grd.mtx.Lock()
	defer grd.mtx.Unlock()
	grd.head, grd.seen = grd.head[:0], false
}

// hasLength tells whether the present head names a length; known is false if it wasn't
// seen.
func (grd *guard) hasLength() (has, known bool) {
	grd.mtx.Lock()
	defer grd.mtx.Unlock()
	for line := range bytes.SplitSeq(grd.head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true, grd.seen
		}
	}
	return false, grd.seen
}

// Ambiguous tells whether a request's end can be read in two ways, or whether that can't
// be ruled out. Such a request must be refused and its connection closed.
func Ambiguous(req *http.Request) bool {
	grd, ok := req.Context().Value(guardKey{}).(*guard)
	if !ok || len(req.TransferEncoding) == 0 {
		return false
	}
	has, known := grd.hasLength()
	return has || !known
}

// watched lets a handler's requests be looked at one head at a time. What the handler
// left of a body is read here, as net/http would do afterwards: it is no part of the next
// head. A caller that waits for leave to send its body is not read from, for it may never
// send it; net/http closes its connection.
func watched(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		grd, ok := req.Context().Value(guardKey{}).(*guard)
		if !ok {
			handler.ServeHTTP(wrt, req)
			return
		}
		// Who reads the body of a request that is given up reads no further.
		stop := context.AfterFunc(req.Context(), func() { _ = grd.SetReadDeadline(time.Now()) })
		handler.ServeHTTP(wrt, req)
		stop()
		if req.Header.Get("Expect") == "" {
			_, _ = io.CopyN(io.Discard, req.Body, restRead)
		}
		grd.next()
	})
}
