package relay

import (
	"bytes"
	"io"
)

// maxEvent bounds one event, in bytes; what is longer is passed on in parts and
// can't be resumed.
const maxEvent = 1 << 20

// Events splits a stream into whole events. An engine may stop in the middle of
// one; what was not handed out as an event has not reached the caller, and the
// stream can go on elsewhere after the last whole one.
type Events struct {
	rdr io.Reader
	buf []byte
	err error
}

// NewEvents reads events from a stream.
func NewEvents(rdr io.Reader) *Events { return &Events{rdr: rdr} }

// Next gives the next event with the empty line that ends it. At the end of a
// stream that was closed well it gives io.EOF, and before it whatever stood
// behind the last event. Any other error means that the stream was cut.
func (evs *Events) Next() ([]byte, error) {
	for {
		if end := eventEnd(evs.buf); end > 0 {
			event := bytes.Clone(evs.buf[:end])
			evs.buf = evs.buf[end:]
			return event, nil
		}
		if evs.err != nil {
			return evs.rest()
		}
		evs.read()
	}
}

func (evs *Events) rest() ([]byte, error) {
	if evs.err == io.EOF && len(evs.buf) > 0 {
		rest := evs.buf
		evs.buf = nil
		return rest, nil
	}
	return nil, evs.err
}

func (evs *Events) read() {
	var part [16 << 10]byte
	n, err := evs.rdr.Read(part[:])
	evs.buf = append(evs.buf, part[:n]...)
	evs.err = err
	if len(evs.buf) > maxEvent && evs.err == nil {
		evs.err = io.ErrShortBuffer
	}
}

// eventEnd gives the length of the first whole event, zero if there is none.
func eventEnd(buf []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(buf, []byte(mark)); at >= 0 && (end == 0 || at+len(mark) < end) {
			end = at + len(mark)
		}
	}
	return end
}
