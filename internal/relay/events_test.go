package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
)

// TestEventsAreWhole: an engine dies in the middle of an event. What came of it is
// not handed out, so that the stream can go on elsewhere after the one before.
func TestEventsAreWhole(t *testing.T) {
	gom := gomega.NewWithT(t)
	cut := errors.New("reset")
	evs := NewEvents(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\r\n\r\nid: 3\nda"), iotest.ErrReader(cut)))
	for _, want := range []string{"id: 1\n\n", "id: 2\r\n\r\n"} {
		event, err := evs.Next()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(string(event)).To(gomega.Equal(want))
	}
	_, err := evs.Next()
	gom.Expect(err).To(gomega.MatchError(cut))
}

// FuzzEvents: whatever comes, in whatever pieces, goes out unchanged.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\nid: 2\r\n\r\nrest")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		evs := NewEvents(iotest.OneByteReader(strings.NewReader(text)))
		var out strings.Builder
		for {
			event, err := evs.Next()
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
