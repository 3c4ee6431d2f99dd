package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/bounds"
)

// TestEventsAreWhole checks that a partial event is not returned when an engine dies in the middle
// of it, so that the stream can be resumed elsewhere after the previous one.
func TestEventsAreWhole(t *testing.T) {
	gom := gomega.NewWithT(t)
	cut := errors.New("reset")
	evr := NewEventReader(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\r\n\r\nid: 3\nda"), iotest.ErrReader(cut)))
	for _, want := range []string{"id: 1\n\n", "id: 2\r\n\r\n"} {
		event, err := evr.Next()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(string(event)).To(gomega.Equal(want))
	}
	_, err := evr.Next()
	gom.Expect(err).To(gomega.MatchError(cut))
}

// Guards against a stream that ends inside an event and reaches its caller as complete, and against
// breaking off one that ends between two.
func TestStreamEndsInsideEvent(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "id: 1\n\n": false, "id: 1\r\r": false, "id: 1\r\n\r\n": false, "id: 1\n\r\n": false, "id: 1\n\n\n": false,
		"id: 1\n\n: bye\n": false, ": a\r: b\r\n": false,
		"id: 1": true, "id: 1\n": true, "id: 1\n\nid: 2\nda": true, "id: 1\n\n: by": true, "id: 1\n\n: c\nid: 2\n": true, "id: 1\r\ndata: \r\n": true,
	} {
		gom := gomega.NewWithT(t)
		evr := NewEventReader(iotest.OneByteReader(strings.NewReader(text)))
		out, err := readEvents(evr)
		gom.Expect(errors.Is(err, ErrInsideEvent)).To(gomega.Equal(inside), "%q", text)
		if !inside {
			gom.Expect(out).To(gomega.Equal(text))
		}
		gom.Expect(len(out)+evr.Tail()).To(gomega.Equal(len(text)), "%q", text)
	}
}

// Guards against an event that is split where a read ends between the two characters of a line's end.
func TestEventsWithSplitLineEnds(t *testing.T) {
	gom := gomega.NewWithT(t)
	evr := NewEventReader(iotest.OneByteReader(strings.NewReader("id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\r")))
	var list []string
	for {
		event, err := evr.Next()
		if err != nil {
			break
		}
		if text := strings.TrimSpace(string(event)); text != "" {
			list = append(list, text)
		}
	}
	gom.Expect(list).To(gomega.Equal([]string{"id: 1\r\ndata: a", "id: 2\rdata: b"}))
}

// readEvents reads the events of a stream, and the error at its end, if any.
func readEvents(evr *EventReader) (string, error) {
	var out strings.Builder
	for {
		event, err := evr.Next()
		if err == io.EOF {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), err
		}
		out.Write(event)
	}
}

// FuzzEvents checks that any stream, read in parts of any size, is passed on unchanged up to the event in
// which it ends.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\nid: 2\r\n\r\nrest")
	f.Add("\n\n\n")
	f.Add("id: 1\r\rid: 2\n\r\n: comment\n")
	f.Fuzz(func(t *testing.T, text string) {
		evr := NewEventReader(iotest.OneByteReader(strings.NewReader(text)))
		out, err := readEvents(evr)
		if err != nil && !errors.Is(err, ErrInsideEvent) {
			t.Fatal(err)
		}
		if out+text[len(text)-evr.Tail():] != text {
			t.Fatalf("%q came out as %q, with %d bytes left", text, out, evr.Tail())
		}
	})
}

// endless is a text without an end of a line.
type endless struct{}

func (endless) Read(buf []byte) (int, error) {
	for i := range buf {
		buf[i] = 'x'
	}
	return len(buf), nil
}

// Guards against events without end that take twice their bound or more while their buffer grows.
func TestLongEventTakesBoundedMemory(t *testing.T) {
	gom := gomega.NewWithT(t)
	evr := NewEventReader(iotest.OneByteReader(endless{}))
	evr.buf = make([]byte, 0, 1)
	for evr.err == nil {
		before := cap(evr.buf)
		evr.read()
		if after := cap(evr.buf); after != before {
			gom.Expect(before + after).To(gomega.BeNumerically("<=", maxEventBytes*3/2+minRead))
		}
	}
	gom.Expect(bounds.Exceeded(evr.err)).To(gomega.BeTrue())
	gom.Expect(len(evr.buf)).To(gomega.Equal(maxEventBytes + 1))
}

// Guards against long events that hold more than the common budget of all answers, against short ones that are cut for
// want of it, and against bytes that are never given back.
func TestEventsShareBudget(t *testing.T) {
	gom := gomega.NewWithT(t)
	bgt := bounds.NewBudget(1)
	evr := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", bounds.FreeBytes/4) + "\n\ndata: " + strings.Repeat("x", 2*bounds.FreeBytes) + "\n\n"))
	release := evr.TakeFrom(bgt)
	_, err := evr.Next()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = evr.Next()
	gom.Expect(bounds.Exceeded(err)).To(gomega.BeTrue(), "%v", err)
	release()
	gom.Expect(bgt.Taken()).To(gomega.BeZero())
	bgt = bounds.NewBudget(maxEventBytes)
	evr = NewEventReader(strings.NewReader("data: " + strings.Repeat("x", 4*bounds.FreeBytes) + "\n\n"))
	release = evr.TakeFrom(bgt)
	_, err = evr.Next()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(bgt.Taken()).To(gomega.BeNumerically(">", 0))
	release()
	gom.Expect(bgt.Taken()).To(gomega.BeZero())
}
