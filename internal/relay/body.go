package relay

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/pkg/ending"
)

// writeGrace is how long the end of an answer waits for the end of the writing of its request.
const writeGrace = time.Second

// written tells how the writing of a request ended.
type written struct {
	once sync.Once
	done chan struct{}
	// broken is set if the connection failed a write.
	broken atomic.Bool
}

func (wrt *written) end() { wrt.once.Do(func() { close(wrt.done) }) }

// closeBody is the body of an answer that ends with its connection. A reset is reported once: after a
// write that failed with it, the body seems to end in order. It is complete only if no write failed.
type closeBody struct {
	io.ReadCloser
	wrt *written
}

func (cbd *closeBody) Read(buf []byte) (int, error) {
	n, err := cbd.ReadCloser.Read(buf)
	if err != io.EOF {
		return n, err
	}
	select {
	case <-cbd.wrt.done:
		if !cbd.wrt.broken.Load() {
			return n, io.EOF
		}
	case <-time.After(writeGrace):
	}
	return n, io.ErrUnexpectedEOF
}

// guardEnd returns a body whose end is as true as that of its connection.
func guardEnd(body io.ReadCloser, frm ending.Framing, wrt *written) io.ReadCloser {
	if frm.ProvesEnd() {
		return body
	}
	return &closeBody{ReadCloser: body, wrt: wrt}
}
