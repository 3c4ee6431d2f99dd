package relay

import (
	"bytes"
	"errors"
	"io"

	"amaranthvalve/internal/bounds"
)

// maxEventBytes bounds one event; a stream with a longer event counts as cut there.
const maxEventBytes = 1 << 20

// minRead is the least space for a read.
const minRead = 4 << 10

// EventReader splits a stream into whole server-sent events. An engine may fail in the middle of
// one; a partial event is not returned, so that it does not reach the caller and the stream can be
// resumed elsewhere after the last whole one.
type EventReader struct {
	rdr  io.Reader
	held bounds.Held
	buf  []byte
	// lines is the length of the whole lines at the beginning of buf, none of which is empty; seen is the
	// length of what is known to have no end of a line after them.
	lines, seen int
	err         error
}

// errEventsExceeded is returned where the budget has no bytes for a long event.
var errEventsExceeded = &bounds.Error{What: "an event, while the budget of all answers is used up,", Bytes: bounds.FreeBytes}

// ErrInsideEvent means that a stream ended inside an event, whatever its framing says.
var ErrInsideEvent = errors.New("the stream ended inside an event")

// NewEventReader returns a reader of the events of a stream.
func NewEventReader(rdr io.Reader) *EventReader { return &EventReader{rdr: rdr} }

// TakeFrom has what the reader holds taken from a budget, until the returned function is called. It must be called before
// anything is read.
func (evr *EventReader) TakeFrom(budget *bounds.Budget) (release func()) {
	evr.held = budget.Hold()
	return evr.held.Release
}

// Next returns the next event with the empty line that ends it. At the end of a stream it returns comments
// that follow the last event, and then io.EOF, or [ErrInsideEvent] if anything else follows. Any other
// error means that the stream was cut.
func (evr *EventReader) Next() ([]byte, error) {
	for {
		if end := evr.eventEnd(); end > 0 {
			event := bytes.Clone(evr.buf[:end])
			evr.buf, evr.lines, evr.seen = evr.buf[end:], 0, 0
			return event, nil
		}
		if evr.err != nil {
			return evr.rest()
		}
		evr.read()
	}
}

// Tail returns the number of bytes that followed the last whole event.
func (evr *EventReader) Tail() int { return len(evr.buf) }

func (evr *EventReader) rest() ([]byte, error) {
	switch {
	case evr.err != io.EOF || len(evr.buf) == 0:
		return nil, evr.err
	case !isComments(evr.buf):
		return nil, ErrInsideEvent
	}
	rest := evr.buf
	evr.buf, evr.lines, evr.seen = nil, 0, 0
	return rest, nil
}

func (evr *EventReader) read() {
	if !evr.grow() {
		evr.err = errEventsExceeded
		return
	}
	n, err := evr.rdr.Read(evr.buf[len(evr.buf):cap(evr.buf)])
	evr.buf = evr.buf[:len(evr.buf)+n]
	evr.err = err
	if len(evr.buf) > maxEventBytes && evr.err == nil {
		evr.err = &bounds.Error{What: "an event of the answer", Bytes: maxEventBytes}
	}
}

// grow makes room for a read. The buffer grows by doubling, and from half of the longest event to its bound at once: old
// and new one together take one and a half times that bound at most. It returns false if the budget has no bytes for it.
func (evr *EventReader) grow() bool {
	if cap(evr.buf)-len(evr.buf) >= minRead {
		return true
	}
	size := max(2*cap(evr.buf), len(evr.buf)+minRead)
	if size > maxEventBytes/2 {
		size = maxEventBytes + minRead
	}
	larger, ok := evr.held.Grow(evr.buf, size)
	evr.buf = larger
	return ok
}

// eventEnd returns the length of the first whole event, zero if there is none. Lines end with a line feed,
// a carriage return or both; an event ends with an empty line.
func (evr *EventReader) eventEnd() int {
	for {
		from := max(evr.lines, evr.seen)
		line := lineEnd(evr.buf[from:])
		if line == 0 {
			// Otherwise a long line that comes byte by byte would be searched again at each of them.
			evr.seen = len(evr.buf)
			return 0
		}
		line += from - evr.lines
		if first := evr.buf[evr.lines]; first == '\r' || first == '\n' {
			return evr.lines + line
		}
		if evr.lines+line == len(evr.buf) && evr.buf[len(evr.buf)-1] == '\r' {
			// The line feed that belongs to it may follow.
			return 0
		}
		evr.lines += line
	}
}

// lineEnd returns the length of the first line with its end, zero if it is not whole.
func lineEnd(buf []byte) int {
	at := bytes.IndexByte(buf, '\n')
	if at < 0 {
		at = len(buf)
	}
	if ret := bytes.IndexByte(buf[:at], '\r'); ret >= 0 {
		at = ret
	}
	if at == len(buf) {
		return 0
	}
	if bytes.HasPrefix(buf[at:], []byte("\r\n")) {
		return at + 2
	}
	return at + 1
}

// isComments reports whether a text consists of whole comment lines.
func isComments(text []byte) bool {
	for len(text) > 0 {
		line := lineEnd(text)
		if line == 0 || text[0] != ':' {
			return false
		}
		text = text[line:]
	}
	return true
}
