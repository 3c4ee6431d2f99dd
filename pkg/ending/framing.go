package ending

import "net/http"

//go:generate go tool stringer -type=Framing,BodyEnd -linecomment -output=framing_string.go

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing int

// The framings.
const (
	// CloseDelimited bodies end with their connection. A process that ends closes its connections in the same way, so the
	// end of such a body doesn't prove that it is complete.
	CloseDelimited Framing = iota // close
	// ByLength bodies have a length, which is zero for answers that can't have a body.
	ByLength // length
	// Chunked bodies end with an empty chunk.
	Chunked // chunked
)

// ProvesEnd reports whether a body that was read to its end is complete.
func (frm Framing) ProvesEnd() bool { return frm != CloseDelimited }

// FramingOf returns the framing of an answer.
func FramingOf(res *http.Response) Framing {
	switch {
	case res.ContentLength >= 0 || res.Request != nil && res.Request.Method == http.MethodHead:
		return ByLength
	case len(res.TransferEncoding) > 0:
		return Chunked
	}
	return CloseDelimited
}

// BodyEnd is how the body of an answer ended.
type BodyEnd int

// The ends of bodies.
const (
	// Unread bodies were not read to their end.
	Unread BodyEnd = iota // unread
	// Whole bodies ended as their framing says.
	Whole // whole
	// BrokenOff bodies ended before that.
	BrokenOff // broken_off
	// InsideEvent streams ended as their framing says, but inside an event.
	InsideEvent // inside_event
)

// Framings lists the framings.
func Framings() []Framing { return []Framing{CloseDelimited, ByLength, Chunked} }

// BodyEnds lists the ends of bodies.
func BodyEnds() []BodyEnd { return []BodyEnd{Unread, Whole, BrokenOff, InsideEvent} }
