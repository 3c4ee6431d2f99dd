package wire

import (
	"io"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/bounds"
)

// emptyLines reads as empty lines, and ends after left bytes.
type emptyLines struct{ left int }

func (elr *emptyLines) Read(buf []byte) (n int, err error) {
	if elr.left <= 0 {
		return 0, io.EOF
	}
	for n < len(buf) {
		buf[n] = '\n'
		n++
	}
	elr.left -= n
	return n, nil
}

// Guards against a stream of empty lines, which have no size, that holds its reader until the call times out.
func TestEmptyLinesAreBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	src := &emptyLines{left: 8 * maxEventBytes}
	_, _, err := NewEventReader(src).Next()
	gom.Expect(bounds.Exceeded(err)).To(gomega.BeTrue())
	gom.Expect(src.left).To(gomega.BeNumerically(">", 7*maxEventBytes))
}
