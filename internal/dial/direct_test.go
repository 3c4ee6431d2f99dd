package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// silence makes a connection drop all that its peer sends, without an acknowledgement, until the
// returned function is called.
func silence(gom *gomega.WithT, con *net.TCPConn) (end func()) {
	raw, err := con.SyscallConn()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	// A socket filter that accepts nothing.
	reject := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	gom.Expect(raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &reject})
	})).To(gomega.Succeed())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	return func() {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}
}

// connection opens a connection as to an endpoint and returns both ends.
func connection(t *testing.T, gom *gomega.WithT) (net.Conn, *net.TCPConn) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = lsn.Close() })
	con, err := Direct(EndpointSilence).DialContext(context.Background(), "tcp", lsn.Addr().String())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	end, err := lsn.Accept()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = con.Close(); _ = end.Close() })
	return con, end.(*net.TCPConn)
}

// Guards against cutting off the answer of an endpoint that falls silent for a second or two and goes
// on.
func TestSilentEndpointIsAwaited(t *testing.T) {
	for _, tst := range []struct {
		name string
		// unacknowledged is set if the request is sent into the silence.
		unacknowledged bool
	}{{"in the middle of an answer", false}, {"before the request was acknowledged", true}} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			con, end := connection(t, gom)
			if !tst.unacknowledged {
				_, err := con.Write([]byte("request"))
				gom.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.ReadFull(end, make([]byte, 7))
				gom.Expect(err).NotTo(gomega.HaveOccurred())
				_, _ = end.Write([]byte("ans"))
				_, err = io.ReadFull(con, make([]byte, 3))
				gom.Expect(err).NotTo(gomega.HaveOccurred())
			}
			over := silence(gom, end)
			if tst.unacknowledged {
				_, _ = con.Write([]byte("request"))
			}
			time.Sleep(2 * time.Second)
			over()
			_, err := end.Write([]byte("wer"))
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			_ = con.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, err = io.ReadFull(con, make([]byte, 3))
			gom.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// Guards against a request that is held until its deadline by an endpoint that has lost power.
func TestDeadConnectionIsDetected(t *testing.T) {
	t.Parallel()
	gom := gomega.NewWithT(t)
	con, end := connection(t, gom)
	silence(gom, end)
	began := time.Now()
	_ = con.SetReadDeadline(began.Add(10 * time.Second))
	_, err := con.Read(make([]byte, 1))
	gom.Expect(err).To(gomega.HaveOccurred())
	t.Logf("detected after %v", time.Since(began))
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*EndpointSilence))
}
