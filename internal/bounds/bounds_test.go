package bounds

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an answer at its bound that is refused, and against a longer one that looks whole.
func TestBoundIsExact(t *testing.T) {
	for size, exceeded := range map[int]bool{0: false, 1: false, 9: false, 10: false, 11: true, 100: true} {
		gom := gomega.NewWithT(t)
		text := strings.Repeat("x", size)
		got, err := ReadAll(strings.NewReader(text), 10, "the answer")
		gom.Expect(Exceeded(err)).To(gomega.Equal(exceeded), "%d: %v", size, err)
		if !exceeded {
			gom.Expect(string(got)).To(gomega.Equal(text))
		}
		gom.Expect(Exceeded(Discard(strings.NewReader(text), 10, "the answer"))).To(gomega.Equal(exceeded))
		for _, rdr := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
			got, err = io.ReadAll(NewBody(io.NopCloser(rdr), &Error{What: "the answer", Bytes: 10}))
			gom.Expect(Exceeded(err)).To(gomega.Equal(exceeded), "%d: %v", size, err)
			gom.Expect(string(got)).To(gomega.Equal(text[:min(size, 10)]))
		}
	}
}

// Guards against an error that doesn't name the bound.
func TestErrorNamesTheBound(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(fmt.Errorf("endpoint one: %w", &Error{What: "the head", Bytes: 7})).To(gomega.MatchError("endpoint one: the head exceeds 7 bytes"))
	gom.Expect(&Error{What: "the head", Time: time.Second}).To(gomega.MatchError("the head is not complete after 1s"))
}
