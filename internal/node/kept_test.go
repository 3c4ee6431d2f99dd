package node

import (
	"fmt"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/platform/fake"
)

var _ = ginkgo.Describe("a stream that breaks off after another engine has failed", func() {
	// Guards against the kept failure of an engine that is written behind the events of another one's stream, which then
	// ends as if it were whole.
	ginkgo.It("ends as broken off when no engine is left", func() {
		tbd := newTestbed(1)
		tbd.publishAttempts(3)
		nod := tbd.nodes[0]
		eventually(func() int {
			rte, ok := nod.ctl.View().Plan().Match(host, "/stream/x")
			if !ok {
				return 0
			}
			return rte.Attempts()
		}, pollTimeout).Should(equal(3))
		expect(tbd.engines).To(gomega.HaveLen(2))
		begun := 0
		for i := range 24 {
			tbd.engines[0].ClearFaults()
			tbd.engines[1].ClearFaults()
			tbd.engines[0].QueueFaults(fake.Fails, fake.Fails)
			tbd.engines[1].QueueFaults(fake.CutsMidway, fake.CutsMidway)
			rsp := tbd.send(0, request{path: "/stream/x", id: fmt.Sprint("kept-", i), body: "a stream"})
			if rsp.status == http.StatusOK {
				begun++
				expect(rsp.err).To(gomega.HaveOccurred(), "%q", rsp.body)
			}
		}
		expect(begun).To(gomega.BeNumerically(">", 0))
	})
})

// publishAttempts writes a version of the document by which each request may be sent to a number of endpoints.
func (tbd *testbed) publishAttempts(most int) {
	tbd.version++
	doc := fake.Document{Version: tbd.version, Host: host, Tenant: "corella", Keys: tbd.keys}.JSON()
	for _, rte := range doc["routes"].([]fake.Obj) {
		rte["maxAttempts"] = most
	}
	tbd.store.PutDocument(doc)
}
