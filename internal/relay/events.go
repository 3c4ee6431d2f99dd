package relay

import (
	"bytes"
	"io"
)

// maxEventBytes bounds one event; a stream with a longer event counts as cut there.
const maxEventBytes = 1 << 20

// EventReader splits a stream into whole server-sent events. An engine may fail in the middle of
// one; a partial event is not returned, so that it does not reach the caller and the stream can be
// resumed elsewhere after the last whole one.
type EventReader struct {
	rdr io.Reader
	buf []byte
	err error
	// tail is the number of bytes after the last whole event at the end of the stream.
	tail int
}

// NewEventReader returns a reader of the events of a stream.
func NewEventReader(rdr io.Reader) *EventReader { return &EventReader{rdr: rdr} }

// Next returns the next event with the empty line that ends it. At the end of a stream that was
// closed properly it returns whatever follows the last event, and then io.EOF. Any other error
// means that the stream was cut.
func (evr *EventReader) Next() ([]byte, error) {
	for {
		if end := eventEnd(evr.buf); end > 0 {
			event := bytes.Clone(evr.buf[:end])
			evr.buf = evr.buf[end:]
			return event, nil
		}
		if evr.err != nil {
			return evr.rest()
		}
		evr.read()
	}
}

// Tail returns the number of bytes that followed the last whole event at the end of the stream.
func (evr *EventReader) Tail() int { return evr.tail }

func (evr *EventReader) rest() ([]byte, error) {
	if evr.err == io.EOF && len(evr.buf) > 0 {
		rest := evr.buf
		evr.buf, evr.tail = nil, len(rest)
		return rest, nil
	}
	return nil, evr.err
}

func (evr *EventReader) read() {
	var part [16 << 10]byte
	n, err := evr.rdr.Read(part[:])
	evr.buf = append(evr.buf, part[:n]...)
	evr.err = err
	if len(evr.buf) > maxEventBytes && evr.err == nil {
		evr.err = io.ErrShortBuffer
	}
}

// eventEnd returns the length of the first whole event, zero if there is none.
func eventEnd(buf []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(buf, []byte(sep)); at >= 0 && (end == 0 || at+len(sep) < end) {
			end = at + len(sep)
		}
	}
	return end
}
