package relay

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform"
)

// Guards against a request that reaches an endpoint with another path, or another host, than its caller sent.
func TestTargetIsSentUnchanged(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	lines := make(chan string, 9)
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(con).ReadString('\n')
			lines <- strings.TrimSpace(line)
			_ = con.Close()
		}
	}()
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	send := func(target string) ending.Ending {
		rqs := Request{ID: "one", Method: "POST", Host: "x", Target: target, Header: http.Header{}, Body: []byte("body")}
		_, end, _ := rel.Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
		return end
	}
	for _, target := range []string{
		"/", "/a/b", "/a//b", "//a/b", "//", "///", "//a/b?c=//d", "//a/b?", "//a%2Fb/%c3%A4", "//a:b@c/[d]", "/a b", "/%zz", "/a%2fb", "//a/../b/./c", "/\u00e4", "//a?b?c", "/a#b", "*",
	} {
		gom.Expect(CheckTarget(target)).To(gomega.Succeed())
		gom.Expect(send(target)).To(gomega.Equal(ending.Cut), target)
		gom.Eventually(lines, time.Second).Should(gomega.Receive(gomega.Equal("POST "+target+" HTTP/1.1")), target)
	}
	for _, target := range []string{"//a b", "//%zz", "//\u00e4", "//a#b", "//a\"b"} {
		gom.Expect(CheckTarget(target)).NotTo(gomega.Succeed())
		gom.Expect(send(target)).To(gomega.Equal(ending.NothingSent), target)
	}
	gom.Consistently(lines, 50*time.Millisecond).ShouldNot(gomega.Receive())
}
