package contr

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against serving with outdated documents after a freeze. A process is frozen while its
// view is ready and resumes after the view's expiry. A request that waited in its sockets is
// read before the control loop has run.
func TestViewExpires(t *testing.T) {
	gom := gomega.NewWithT(t)
	vw := &View{ready: true, until: 5000}
	ready, _ := vw.Ready(5000)
	gom.Expect(ready).To(gomega.BeTrue())
	ready, why := vw.Ready(5001)
	gom.Expect(ready).To(gomega.BeFalse())
	gom.Expect(why).NotTo(gomega.BeEmpty())
}
