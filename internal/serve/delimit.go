package serve

import (
	"io"
	"net/http"
	"time"
)

const (
	// lingerTimeout bounds how long a connection is read from after its last answer, lingerBytes how much.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// DelimitByClose makes the end of a request's connection the end of its answer. Whatever ends the
// connection resets it, also the end of this process, until delivered is called: an answer that was
// broken off must not look complete. It must be called before the answer is begun.
func DelimitByClose(req *http.Request) (delivered func()) {
	hcn, ok := req.Context().Value(headConnKey{}).(*headConn)
	if !ok {
		return func() {}
	}
	hcn.setLinger(0)
	return func() {
		hcn.setLinger(-1)
		hcn.delivered.Store(true)
	}
}

// setLinger sets how many seconds the connection waits for its data to be acknowledged when it is closed;
// zero resets it, a negative number is the default.
func (hcn *headConn) setLinger(seconds int) {
	if con, ok := hcn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = con.SetLinger(seconds)
	}
}

// Close implements net.Conn. After an answer that ends with the connection, what the caller has sent
// since is read first: a connection that is closed with unread data is reset, which may destroy the
// end of the answer on its way.
func (hcn *headConn) Close() error {
	if hcn.delivered.CompareAndSwap(true, false) {
		if con, ok := hcn.Conn.(interface{ CloseWrite() error }); ok && con.CloseWrite() == nil {
			_ = hcn.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, _ = io.CopyN(io.Discard, hcn.Conn, lingerBytes)
		}
	}
	return hcn.Conn.Close()
}
