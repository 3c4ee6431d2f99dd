package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform"
	"amaranthvalve/platform/fake"
)

// answerCut answers each request with the first bytes of an answer and ends the connection; the request's path says
// how many, the answer's head gets the request's ID.
func answerCut(lsn net.Listener, answer string, reset bool) {
	for {
		con, err := lsn.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = con.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(con))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			var count int
			_, _ = fmt.Sscanf(req.URL.Path, "/%d", &count)
			text := strings.ReplaceAll(answer, "ID", req.Header.Get(fake.HeaderRequestID))
			_, _ = io.WriteString(con, text[:min(count, len(text))])
			if reset {
				_ = con.(*net.TCPConn).SetLinger(0)
			}
		}()
	}
}

// Guards against an answer that is passed on as whole although the endpoint stopped in the middle of its head, or of
// what frames its body. The answer is cut at each byte.
func TestAnswerCutInItsHeadIsNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + fake.HeaderRequestID + ": ID\r\n" + fake.HeaderSignature + ": s\r\nContent-Type: text/plain\r\n"
	answers := map[string]string{
		"length":       head + "Content-Length: 10\r\n\r\n0123456789",
		"empty":        head + "Content-Length: 0\r\n\r\n",
		"length first": strings.Replace(head, "\r\n", "\r\nContent-Length: 10\r\n", 1) + "\r\n0123456789",
		"chunks":       head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n4\r\nlast\r\n0\r\n\r\n",
		"trailer":      head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nonly\r\n0\r\nX: y\r\n\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"no length":    head + "\r\n",
		"line feeds":   strings.ReplaceAll(head+"Content-Length: 2\r\n\r\nok", "\r\n", "\n"),
	}
	for name, answer := range answers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", reset), func(t *testing.T) {
				t.Parallel()
				gom := gomega.NewWithT(t)
				lsn, err := net.Listen("tcp", "127.0.0.1:0")
				gom.Expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = lsn.Close() }()
				const id = "r"
				go answerCut(lsn, answer, reset)
				rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
				whole := len(strings.ReplaceAll(answer, "ID", id))
				for count := range whole + 1 {
					rqs := Request{ID: id, Method: "POST", Host: "x", Target: fmt.Sprint("/", count), Header: http.Header{fake.HeaderRequestID: {id}}, Body: []byte("body")}
					rsp, end, _ := rel.Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
					if end != ending.Answered {
						gom.Expect(end).To(gomega.Equal(ending.Cut), "%d bytes", count)
						gom.Expect(count < whole || reset).To(gomega.BeTrue(), "the whole answer")
						continue
					}
					_, err := io.ReadAll(rsp.Body)
					_ = rsp.Body.Close()
					if count < whole {
						gom.Expect(err).To(gomega.HaveOccurred(), "%d of %d bytes: %q", count, whole, answer[:min(count, len(answer))])
					}
				}
			})
		}
	}
}
