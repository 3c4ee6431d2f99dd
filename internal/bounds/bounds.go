package bounds

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Error reports that an answer exceeded a bound: of time if Time is set, of number if Count is, or else of size.
type Error struct {
	// What names the bounded part of the exchange.
	What  string
	Bytes int64
	Count int
	Time  time.Duration
}

// Error implements error.
func (err *Error) Error() string {
	switch {
	case err.Time > 0:
		return fmt.Sprintf("%s is not complete after %v", err.What, err.Time)
	case err.Count > 0:
		return fmt.Sprintf("%s are more than %d", err.What, err.Count)
	}
	return fmt.Sprintf("%s exceeds %d bytes", err.What, err.Bytes)
}

// Exceeded reports whether an error is due to an exceeded bound.
func Exceeded(err error) bool {
	var bnd *Error
	return errors.As(err, &bnd)
}

// MaxHeadBytes bounds the head of an answer, for MaxResponseHeaderBytes of a transport. Servers and proxies
// commonly accept heads of 8 to 64 kB.
const MaxHeadBytes = 64 << 10

// HeadName names the head of an answer in errors.
const HeadName = "the head of the answer"

// headExceeded is part of the error of net/http for a head that is too long, which has no type.
const headExceeded = "response headers exceeded"

// Head returns the error of a request, as an [Error] if the head of its answer was longer than [MaxHeadBytes].
func Head(err error) error {
	if err != nil && strings.Contains(err.Error(), headExceeded) {
		return &Error{What: HeadName, Bytes: MaxHeadBytes}
	}
	return err
}

// ReadAll reads all of an answer of at most limit bytes. What was read of a longer one is dropped.
func ReadAll(rdr io.Reader, limit int64, what string) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(rdr, limit+1))
	if err == nil && int64(len(text)) > limit {
		return nil, &Error{What: what, Bytes: limit}
	}
	return text, Framing(err)
}

// Discard reads an answer of at most limit bytes without keeping it.
func Discard(rdr io.Reader, limit int64, what string) error {
	n, err := io.Copy(io.Discard, io.LimitReader(rdr, limit+1))
	if err == nil && n > limit {
		return &Error{What: what, Bytes: limit}
	}
	return Framing(err)
}

// Body is an answer's body that fails when more than its bound is read.
type Body struct {
	io.ReadCloser
	left int64
	err  *Error
}

// NewBody bounds a body to the bytes of the error with which it then fails.
func NewBody(body io.ReadCloser, err *Error) *Body {
	return &Body{ReadCloser: body, left: err.Bytes, err: err}
}

// Read reads from the body. The bytes up to the bound are returned before the error.
func (bdy *Body) Read(buf []byte) (int, error) {
	if bdy.left < 0 {
		return 0, bdy.err
	}
	// One more byte than is left tells a body that ends at the bound from a longer one.
	if int64(len(buf)) > bdy.left+1 {
		buf = buf[:bdy.left+1]
	}
	n, err := bdy.ReadCloser.Read(buf)
	if bdy.left -= int64(n); bdy.left < 0 {
		return n - 1, bdy.err
	}
	return n, Framing(err)
}

// Bounds of net/http for the framing of chunked bodies, in bytes: of a line with the size of a chunk, of what such
// lines carry beyond their chunks, and of trailers.
const (
	maxChunkLine  = 4 << 10
	maxChunkExtra = 16 << 10
	maxTrailers   = 4 << 10
)

// Framing returns the error of a body, as an [Error] if the framing of its chunks exceeded a bound of net/http.
func Framing(err error) error {
	switch {
	case err == nil || err == io.EOF:
	case errors.Is(err, http.ErrLineTooLong):
		return &Error{What: "a line with the size of a chunk", Bytes: maxChunkLine}
	case strings.Contains(err.Error(), "too much non-data"):
		return &Error{What: "the framing of the chunks", Bytes: maxChunkExtra}
	case strings.Contains(err.Error(), "suspiciously long trailer"):
		return &Error{What: "the trailers of the answer", Bytes: maxTrailers}
	}
	return err
}
