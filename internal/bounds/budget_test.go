package bounds

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
)

// Guards against answers that hold more than their common budget, against short ones that need any of it, and against bytes
// that are never given back.
func TestAnswersShareBudget(t *testing.T) {
	gom := gomega.NewWithT(t)
	const limit = 1 << 20
	bgt := NewBudget(2 * limit)
	long, short := strings.Repeat("x", limit), strings.Repeat("y", FreeBytes)
	first, second, third := bgt.Hold(), bgt.Hold(), bgt.Hold()
	text, whole, err := first.ReadWhole(strings.NewReader(long), limit)
	gom.Expect(string(text) == long && whole && err == nil).To(gomega.BeTrue())
	gom.Expect(bgt.Taken()).To(gomega.BeNumerically(">=", limit-FreeBytes))
	rest := strings.NewReader(long)
	text, whole, err = second.ReadWhole(rest, limit)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(whole).To(gomega.BeFalse())
	gom.Expect(bgt.Taken()).To(gomega.BeNumerically("<=", 2*limit))
	left, _ := io.ReadAll(rest)
	gom.Expect(string(text)+string(left) == long).To(gomega.BeTrue(), "bytes are lost")
	text, whole, err = third.ReadWhole(strings.NewReader(short), limit)
	gom.Expect(string(text) == short && whole && err == nil).To(gomega.BeTrue())
	for _, hld := range []*Held{&first, &second, &third, &third} {
		hld.Release()
	}
	gom.Expect(bgt.Taken()).To(gomega.BeZero())
}

// Guards against an answer at its bound that doesn't count as whole, a longer one that does, and a broken one that does.
func TestReadWhole(t *testing.T) {
	gom := gomega.NewWithT(t)
	const limit = 3 * FreeBytes
	cut := errors.New("cut")
	for size, isWhole := range map[int]bool{0: true, 1: true, firstRead: true, firstRead + 1: true, limit - 1: true, limit: true, limit + 1: false, 2 * limit: false} {
		want := strings.Repeat("x", size)
		for _, rdr := range []io.Reader{strings.NewReader(want), iotest.OneByteReader(strings.NewReader(want)), iotest.DataErrReader(strings.NewReader(want))} {
			var hld Held
			text, whole, err := hld.ReadWhole(rdr, limit)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			gom.Expect(whole).To(gomega.Equal(isWhole), "%d", size)
			gom.Expect(string(text)).To(gomega.Equal(want[:min(size, limit+1)]))
		}
		var hld Held
		_, whole, err := hld.ReadWhole(io.MultiReader(strings.NewReader(want), iotest.ErrReader(cut)), limit)
		gom.Expect(whole).To(gomega.BeFalse())
		gom.Expect(err == cut || size > limit).To(gomega.BeTrue())
	}
}
