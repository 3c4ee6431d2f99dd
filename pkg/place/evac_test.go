package place

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against prompts for an engine that is withheld, against parts fetched from it, and against one that is never
// used again or has lost its cache and its requests when it no longer is.
func TestWithheldEngineIsSparedAndTakenBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := &Placer{}
	both := []Engine{{ID: "e1", Addr: "a:1", Fetches: true}, {ID: "e2", Addr: "a:2", Fetches: true}}
	plc.Sync(both)
	plc.ReportCached("e1", prompt("doc").Parts)
	plc.Begin("e1", "t", prompt("doc"), 0, 0)
	plc.Sync([]Engine{{ID: "e1", Addr: "a:1", Fetches: true, Withheld: true}, both[1]})
	gom.Expect(plc.Usable("e1", 1)).To(gomega.BeFalse())
	plm, ok := plc.Pick(Ask{Prompt: prompt("doc")}, 1)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(plm.Engine.ID).To(gomega.Equal("e2"))
	gom.Expect(plm.FetchAddr).To(gomega.BeEmpty())
	_, ok = plc.Pick(Ask{Prompt: prompt("doc"), Avoid: []string{"e2"}}, 1)
	gom.Expect(ok).To(gomega.BeFalse())
	plc.Sync(both)
	plm, ok = plc.Pick(Ask{Prompt: prompt("doc"), Avoid: []string{"e2"}}, 1)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(plm.Streams).To(gomega.Equal(1))
	gom.Expect(plm.CachedTokens).To(gomega.BeNumerically(">", 0))
}
