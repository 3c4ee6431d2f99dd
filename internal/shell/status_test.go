package shell

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/wire"
)

// Guards against an evacuation that operators don't see, and against a heading where there is none.
func TestStatusListsEvacuations(t *testing.T) {
	gom := gomega.NewWithT(t)
	text := func(list ...wire.StatusEvacuation) string {
		var out bytes.Buffer
		printStatus(&console{out: &out}, wire.Status{Evacuated: list})
		return out.String()
	}
	gom.Expect(text(wire.StatusEvacuation{Zone: "dc2", Endpoints: 31, SinceMs: 4200})).To(gomega.MatchRegexp(`EVACUATED +ENDPOINTS +SINCE_MS\ndc2 +31 +4200\n`))
	gom.Expect(text()).NotTo(gomega.ContainSubstring("EVACUATED"))
}
