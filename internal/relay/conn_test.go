package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform"
)

// Guards against sending a request that was no longer allowed when its connection was established, or when its first
// byte was due: the process may have stood still since the check of the connection.
func TestDisallowedRequestIsNotSent(t *testing.T) {
	for _, allowedTimes := range []int{0, 1} {
		t.Run(strconv.Itoa(allowedTimes), func(t *testing.T) {
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
			var asked atomic.Int64
			rqs := Request{
				ID: "one", Method: "POST", Host: "x", Target: "/", Header: http.Header{}, Body: []byte("body"),
				Allowed: func() bool { return asked.Add(1) <= int64(allowedTimes) },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			rsp, end, _ := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil).Do(ctx, lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
			gom.Expect(rsp).To(gomega.BeNil())
			gom.Expect(end).To(gomega.Equal(ending.Withheld))
			gom.Eventually(came, 3*time.Second).Should(gomega.Receive(gomega.Equal(0)))
		})
	}
}
