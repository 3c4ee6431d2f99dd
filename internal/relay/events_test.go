package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
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

// FuzzEvents checks that any stream, read in parts of any size, is passed on unchanged.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\nid: 2\r\n\r\nrest")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		evr := NewEventReader(iotest.OneByteReader(strings.NewReader(text)))
		var out strings.Builder
		for {
			event, err := evr.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			out.Write(event)
		}
		if out.String() != text {
			t.Fatalf("%q came out as %q", text, out.String())
		}
	})
}
