package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// serveUnframed is set in the environment of a process that serves answers without framing.
const serveUnframed = "AMV_TEST_SERVE_UNFRAMED"

// TestMain serves in place of the tests if the process was started for that.
func TestMain(m *testing.M) {
	if os.Getenv(serveUnframed) == "" {
		os.Exit(m.Run())
	}
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(lsn.Addr())
	New(lsn, http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		wrt.Header().Set("Transfer-Encoding", "identity")
		DelimitByClose(req)
		_, _ = io.WriteString(wrt, "a part")
		_ = http.NewResponseController(wrt).Flush()
		time.Sleep(time.Minute)
	})).Serve()
}

// Guards against an answer without framing that looks complete since its instance was killed.
func TestKilledInstanceResetsAnswer(t *testing.T) {
	gom := gomega.NewWithT(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveUnframed+"=1")
	out, err := cmd.StdoutPipe()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(cmd.Start()).To(gomega.Succeed())
	defer func() { _ = cmd.Process.Kill() }()
	var addr string
	_, err = fmt.Fscan(out, &addr)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	con, err := net.Dial("tcp", addr)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(res.ContentLength).To(gomega.BeNumerically("<", 0))
	gom.Expect(io.ReadFull(res.Body, make([]byte, 6))).To(gomega.Equal(6))
	gom.Expect(cmd.Process.Kill()).To(gomega.Succeed())
	_, err = res.Body.Read(make([]byte, 1))
	gom.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
	_ = cmd.Wait()
}
