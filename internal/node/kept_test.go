package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
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

// plainResumer is an engine that breaks off each stream after its first event, and answers requests that resume one with
// a plain body.
type plainResumer struct{ status, size atomic.Int64 }

func (prs *plainResumer) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(fake.HeaderRequestID)
	wrt.Header().Set(fake.HeaderRequestID, id)
	wrt.Header().Set(fake.HeaderSignature, "sig-"+id)
	if req.Header.Get(fake.HeaderLastEvent) != "" {
		wrt.Header().Set("Content-Type", "text/plain")
		wrt.WriteHeader(int(prs.status.Load()))
		_, _ = io.WriteString(wrt, strings.Repeat("x", int(prs.size.Load())))
		return
	}
	wrt.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(wrt, firstEvent)
	_ = http.NewResponseController(wrt).Flush()
	panic(http.ErrAbortHandler)
}

// firstEvent is the only event of the streams of a plainResumer.
const firstEvent = "id: 1\ndata: token 1\n\n"

var _ = ginkgo.Describe("a stream that an engine answers with something else when it is resumed", func() {
	// Guards against an answer that is no stream and is written behind the events of a stream that broke off, whatever
	// its status and size.
	ginkgo.It("ends as broken off", func() {
		tbd := newTestbed(1)
		prs := &plainResumer{}
		for i, ep := range tbd.engines {
			srv, err := stand.Serve(anyAddress, prs)
			expect(err).NotTo(anything())
			ginkgo.DeferCleanup(srv.Close)
			tbd.putEntry("engines", fmt.Sprint("resumer-", i), srv.Addr(), false)
			tbd.store.RemoveEndpoint(ep.ID())
		}
		eventually(func() bool { return tbd.lists(0, "engines", "resumer-0", "resumer-1") }, pollTimeout).Should(gomega.BeTrue())
		for _, size := range []int64{0, 1000, largeBody} {
			for _, status := range []int64{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
				prs.status.Store(status)
				prs.size.Store(size)
				// Engines that broke off streams may be ejected for a moment.
				eventually(func(gom gomega.Gomega) {
					id := fmt.Sprint("resumed-", status, "-", size, "-", time.Now().UnixNano())
					rsp := tbd.send(0, request{path: "/stream/x", id: id, body: id})
					if rsp.status == http.StatusOK {
						expect(rsp.err).To(gomega.HaveOccurred(), "status %d, %d bytes", status, size)
						expect(rsp.body).To(equal(firstEvent))
					}
					gom.Expect(rsp.status).To(equal(http.StatusOK))
				}, pollTimeout).Should(gomega.Succeed())
			}
		}
	})
})

// lists reports whether an instance lists exactly these endpoints of a pool.
func (tbd *testbed) lists(node int, pool string, ids ...string) bool {
	var listed []string
	for _, ep := range tbd.nodes[node].ctl.View().Endpoints() {
		if ep.Pool == pool && !ep.Leaving {
			listed = append(listed, ep.ID.Name())
		}
	}
	slices.Sort(listed)
	return slices.Equal(listed, slices.Sorted(slices.Values(ids)))
}

// publishAttempts writes a version of the document by which each request may be sent to a number of endpoints.
func (tbd *testbed) publishAttempts(most int) {
	tbd.version++
	doc := fake.Document{Version: tbd.version, Host: host, Tenant: "corella", Keys: tbd.keys}.JSON()
	for _, rte := range doc["routes"].([]fake.Obj) {
		rte["maxAttempts"] = most
	}
	tbd.store.PutDocument(doc)
}
