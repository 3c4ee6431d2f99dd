package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the end of a planned shutdown", func() {
	// Guards against closing accepted connections without answering their requests.
	ginkgo.It("answers on connections that were accepted", func() {
		tbd := newTestbed(1, "")
		nod := tbd.nodes[0]
		stopped := make(chan struct{})
		go func() {
			nod.Stop(context.Background())
			close(stopped)
		}()
		var cons []net.Conn
		defer func() {
			for _, con := range cons {
				_ = con.Close()
			}
		}()
		for {
			con, err := net.Dial("tcp", nod.CallerAddr())
			if err != nil {
				break
			}
			cons = append(cons, con)
			time.Sleep(5 * time.Millisecond)
		}
		// The last one may not have been accepted yet.
		expect(len(cons)).To(gomega.BeNumerically(">", 2))
		con := cons[len(cons)-2]
		_, _ = io.WriteString(con, "GET /v1/entries?service=planning HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = con.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(con), nil)
		expect(err).NotTo(haveOccurred())
		expect(res.Close).To(gomega.BeTrue())
		for _, con := range cons {
			_ = con.Close()
		}
		gomega.Eventually(stopped, 5*time.Second).Should(gomega.BeClosed())
	})
})
