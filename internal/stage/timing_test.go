package stage

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

// Guards against refusing long generations after short ones, whose time is mostly that of the
// prompt. The time to the first token must be counted once. It used to be multiplied by the
// number of tokens, and long answers were refused as impossible.
func TestEstimateOfLongGeneration(t *testing.T) {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte("name = \"p\"\n[[stage]]\nkind = \"generate\"\npool = \"g\"\nneed_ms = 1500\n"))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	rnr := New(clock.Clock{}, "dc1", meter.New(), func(_, _ string) {})
	gom.Expect(rnr.meanTime(doc, 0, 1500)).To(gomega.Equal(clock.Milli(1500)))
	for range 50 {
		rnr.sampleStream("p", "generate", 20, 20, 1)
		rnr.sampleStream("p", "generate", 20, 25, 2)
	}
	gom.Expect(rnr.meanTime(doc, 0, 1500)).To(gomega.BeNumerically("~", 20+1499*5, 200))
}
