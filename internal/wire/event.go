package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"amaranthvalve/internal/bounds"
)

// maxEventBytes bounds one event, maxLines the lines between the ends of two: comments and unknown fields take no
// memory, but must not go on for ever.
const (
	maxEventBytes = 1 << 20
	maxLines      = 4096
)

// WriteEvent writes one server-sent event (WHATWG HTML, section 9.2) and
// flushes it, so that no token is delayed until the next one.
func WriteEvent(wrt io.Writer, name string, val any) error {
	data, err := json.Marshal(val)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(wrt, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	if flr, ok := wrt.(http.Flusher); ok {
		flr.Flush()
	}
	return nil
}

// EventReader parses a stream of server-sent events.
type EventReader struct {
	scn *bufio.Scanner
}

// NewEventReader returns a reader of the events in rdr.
func NewEventReader(rdr io.Reader) *EventReader {
	scn := bufio.NewScanner(rdr)
	scn.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &EventReader{scn: scn}
}

// Next returns the next event, or io.EOF at the end. For an event that is truncated
// before its terminating empty line it returns io.ErrUnexpectedEOF.
func (erd *EventReader) Next() (name string, data []byte, err error) {
	begun, lines, size := false, 0, 0
	for erd.scn.Scan() {
		lines++
		if size += len(erd.scn.Bytes()); size > maxEventBytes {
			return "", nil, &bounds.Error{What: "an event of the answer", Bytes: maxEventBytes}
		}
		if lines > maxLines {
			return "", nil, &bounds.Error{What: "the lines of an event of the answer", Count: maxLines}
		}
		line := erd.scn.Text()
		if line == "" && begun {
			return name, data, nil
		}
		if rest, ok := strings.CutPrefix(line, "event: "); ok {
			name, begun = rest, true
		}
		if rest, ok := bytes.CutPrefix(erd.scn.Bytes(), []byte("data: ")); ok {
			data, begun = bytes.Clone(rest), true
		}
	}
	if err := erd.scn.Err(); errors.Is(err, bufio.ErrTooLong) {
		return "", nil, &bounds.Error{What: "an event of the answer", Bytes: maxEventBytes}
	} else if err != nil {
		return "", nil, bounds.Framing(err)
	}
	if begun {
		return "", nil, io.ErrUnexpectedEOF
	}
	return "", nil, io.EOF
}

// WriteJSON writes a response with the JSON encoding of val as its body.
func WriteJSON(wrt http.ResponseWriter, status int, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	// The client may have disconnected, which ends the handler's context.
	_ = json.NewEncoder(wrt).Encode(val)
}

// ReadJSON decodes a request's body of at most maxBytes. Unknown fields and trailing
// text are errors, so that a misspelt "expires_ms" does not count as absent. Errors
// in the JSON text are reported with their byte offset.
func ReadJSON(rdr io.Reader, maxBytes int64, val any) error {
	text, err := io.ReadAll(io.LimitReader(rdr, maxBytes+1))
	if err != nil {
		return fmt.Errorf("the body could not be read: %w", err)
	}
	if int64(len(text)) > maxBytes {
		return fmt.Errorf("the body is longer than %d bytes", maxBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(val); err != nil {
		return withOffset(err, dec)
	}
	if dec.More() {
		return fmt.Errorf("byte %d: text after the value", dec.InputOffset())
	}
	return nil
}

func withOffset(err error, dec *json.Decoder) error {
	switch err := err.(type) {
	case *json.SyntaxError:
		return fmt.Errorf("byte %d: %s", err.Offset, err.Error())
	case *json.UnmarshalTypeError:
		return fmt.Errorf("byte %d: %s: expected %s, found %s", err.Offset, err.Field, err.Type, err.Value)
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if err == io.EOF {
		text = "the body is empty"
	}
	return fmt.Errorf("byte %d: %s", dec.InputOffset(), text)
}
