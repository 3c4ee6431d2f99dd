package contr

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestViewRunsOut: a process is frozen with a good view and wakes after its
// time. A request that waited in its sockets is read before the control thread
// has run; it must not be served by the old documents.
func TestViewRunsOut(t *testing.T) {
	gom := gomega.NewWithT(t)
	vw := &View{ready: true, until: 5000}
	ready, _ := vw.Ready(5000)
	gom.Expect(ready).To(gomega.BeTrue())
	ready, why := vw.Ready(5001)
	gom.Expect(ready).To(gomega.BeFalse())
	gom.Expect(why).NotTo(gomega.BeEmpty())
}
