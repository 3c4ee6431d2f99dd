package stage

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

// TestLongAnswerAfterShortOnes: a few short generations have been measured,
// whose time was mostly the prompt's. A long one is then expected to take the
// first token's time once; it was multiplied by the tokens, and long answers
// were refused as impossible.
func TestLongAnswerAfterShortOnes(t *testing.T) {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte("name = \"p\"\n[[stage]]\nkind = \"generate\"\npool = \"g\"\nneed_ms = 1500\n"))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	rnr := New(clock.Clock{}, "dc1", meter.New(), func(_, _ string) {})
	gom.Expect(rnr.typical(doc, 0, 1500)).To(gomega.Equal(clock.Milli(1500)))
	for range 50 {
		rnr.sampleStream("p", "generate", 20, 20, 1)
		rnr.sampleStream("p", "generate", 20, 25, 2)
	}
	gom.Expect(rnr.typical(doc, 0, 1500)).To(gomega.BeNumerically("~", 20+1499*5, 200))
}
