package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

// applyTime is the time within which a document must be in force everywhere.
const applyTime = 2 * time.Second

// revokedKey is a key that documents take away.
const revokedKey = "key-of-a-former-contractor"

// publishWith writes a new version with keys and an additional route named after the version.
func (tbd *testbed) publishWith(keys ...string) string {
	tbd.keys = keys
	name := fmt.Sprintf("added-%d", tbd.version+1)
	tbd.publish(func(doc *fake.Document) { doc.Extra = []string{name} })
	return "/" + name + "/x"
}

// inForce reports whether an instance serves a route and refuses the revoked key.
func (tbd *testbed) inForce(node int, path string) error {
	if rsp := tbd.send(node, request{path: path}); rsp.status != http.StatusOK {
		return fmt.Errorf("instance %d answers %d on %s: %s", node, rsp.status, path, rsp.body)
	}
	if rsp := tbd.send(node, request{path: "/log/x", header: map[string]string{fake.HeaderAuthorize: fake.Bearer + revokedKey}}); rsp.status == http.StatusOK {
		return fmt.Errorf("instance %d still serves the revoked key", node)
	}
	return nil
}

// neverServed sends the revoked key to instances for a while and returns an error if it is served.
func (tbd *testbed) neverServed(span time.Duration, nodes ...int) error {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, i := range nodes {
			if rsp := tbd.send(i, request{path: "/log/x", header: map[string]string{fake.HeaderAuthorize: fake.Bearer + revokedKey}}); rsp.status == http.StatusOK {
				return fmt.Errorf("instance %d serves the revoked key", i)
			}
		}
	}
	return nil
}

// endpointsOf lists the endpoints of a pool that an instance uses.
func (nod *Node) endpointsOf(pool string) []string {
	var list []string
	for _, ep := range nod.ctl.View().Endpoints() {
		if ep.Pool == pool && !ep.Leaving {
			list = append(list, ep.ID.Name())
		}
	}
	return list
}

// newEraTestbed starts instances with five versions of the document, of which the copy has three.
func newEraTestbed(nodes int) *testbed {
	tbd := newTokenTestbed(nodes, 5*clock.Second)
	path := ""
	for i := range 5 {
		path = tbd.publishWith(key, revokedKey)
		if i == 2 {
			tbd.store.Copy()
		}
	}
	for i := range nodes {
		eventually(func() int { return tbd.send(i, request{path: path}).status }, pollTimeout).Should(equal(http.StatusOK))
	}
	return tbd
}

var _ = ginkgo.Describe("a store that comes back from a copy", func() {
	// Guards against documents that are taken for older ones, or for the one in force, because their offsets
	// were given out before.
	ginkgo.It("brings documents into force that are written to it then", func() {
		tbd := newEraTestbed(3)
		tbd.store.Restore()
		for range 2 {
			path := tbd.publishWith(key)
			time.Sleep(applyTime)
			for i := range tbd.nodes {
				expect(tbd.inForce(i, path)).To(gomega.Succeed())
			}
			tbd.publishWith(key, revokedKey)
		}
	})

	// Guards against documents that come back older, and against a revoked key that is served again, also
	// by instances that start while the store has only the copy, beside the planned stop of another one.
	ginkgo.It("takes back no document that was in force", func() {
		tbd := newEraTestbed(3)
		path := tbd.publishWith(key)
		for i := range tbd.nodes {
			eventually(func() error { return tbd.inForce(i, path) }, pollTimeout).Should(gomega.Succeed())
		}
		tbd.store.Restore()
		stopped := make(chan struct{})
		leaving := tbd.nodes[0]
		go func() {
			leaving.Stop(context.Background())
			close(stopped)
		}()
		tbd.start()
		expect(tbd.neverServed(3*time.Second, 1, 2, 3)).To(gomega.Succeed())
		for i := 1; i < 4; i++ {
			expect(tbd.inForce(i, path)).To(gomega.Succeed())
		}
		eventually(stopped, 2*pollTimeout).Should(gomega.BeClosed())
	})

	// Guards against requests that nobody serves because all instances start while the store has only the
	// copy, and against those of a revoked key that are served then although the document is written again.
	ginkgo.It("serves after all instances have started from the copy", func() {
		tbd := newEraTestbed(2)
		tbd.publishWith(key)
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		tbd.store.Restore()
		first := len(tbd.nodes)
		for range 2 {
			tbd.start()
		}
		time.AfterFunc(1500*time.Millisecond, func() { tbd.publishWith(key) })
		expect(tbd.neverServed(3*time.Second, first, first+1)).To(gomega.Succeed())
		for i := first; i < len(tbd.nodes); i++ {
			eventually(func() int { return tbd.send(i, request{path: "/log/x"}).status }, pollTimeout).Should(equal(http.StatusOK))
		}
	})

	// Guards against instances, also followers, and quarantines that are missing from the store for good.
	ginkgo.It("has the entries and the shared record of the instances again", func() {
		tbd := newTokenTestbed(0, 5*clock.Second)
		tbd.store.Copy()
		for range 4 {
			tbd.start()
		}
		tbd.waitJoined()
		crt := tbd.crashEngines(4)
		for crt.arrivalCount() < 3 {
			tbd.send(0, request{path: "/stream-once/plan", body: crashBody})
			time.Sleep(crashPause)
		}
		eventually(tbd.store.Instances, pollTimeout).Should(gomega.HaveLen(5))
		tbd.store.Restore()()
		expect(len(tbd.store.Instances())).To(gomega.BeZero())
		eventually(tbd.store.Instances, pollTimeout).Should(gomega.HaveLen(5))
	})

	// Guards against endpoints that are lost with the copy until they are listed again.
	ginkgo.It("loses no endpoint that is only missing from the copy", func() {
		tbd := newEraTestbed(2)
		for i := range 2 {
			tbd.plain = append(tbd.plain, tbd.add("bookings", fmt.Sprintf("booking-new-%d", i)))
		}
		for _, old := range tbd.plain[:2] {
			tbd.store.RemoveEndpoint(old.ID())
			tbd.servers[old.ID()].Close()
		}
		for _, nod := range tbd.nodes {
			eventually(func() []string { return nod.endpointsOf("bookings") }, pollTimeout).Should(equal([]string{"booking-new-0", "booking-new-1"}))
		}
		tbd.store.Restore()
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			for i := range tbd.nodes {
				rsp := tbd.send(i, request{path: "/booking/x"})
				expect(rsp.status).To(equal(http.StatusOK), rsp.body)
			}
		}
	})
})
