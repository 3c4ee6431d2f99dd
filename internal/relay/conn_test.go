package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform"
)

// Guards against sending a request that was no longer allowed when its connection was established.
func TestDisallowedRequestIsNotSent(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	came := make(chan int, 1)
	go func() {
		con, err := lsn.Accept()
		if err != nil {
			return
		}
		_ = con.SetReadDeadline(time.Now().Add(time.Second))
		text, _ := io.ReadAll(con)
		came <- len(text)
	}()
	rqs := Request{ID: "one", Method: "POST", Host: "x", Target: "/", Header: http.Header{}, Body: []byte("body"), Allowed: func() bool { return false }}
	rsp, end, _ := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil).Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
	gom.Expect(rsp).To(gomega.BeNil())
	gom.Expect(end).To(gomega.Equal(ending.Withheld))
	gom.Eventually(came, 3*time.Second).Should(gomega.Receive(gomega.Equal(0)))
}
