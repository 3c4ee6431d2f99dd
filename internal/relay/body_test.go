package relay

import (
	"bufio"
	"fmt"
	"io"
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
	"amaranthvalve/platform/fake"
)

// answerEarly answers the head of each request without framing, reads some of its body and ends the
// connection.
func answerEarly(lsn net.Listener, end func(con *net.TCPConn)) {
	for {
		con, err := lsn.Accept()
		if err != nil {
			return
		}
		go func() {
			req, err := http.ReadRequest(bufio.NewReaderSize(con, 16))
			if err != nil {
				return
			}
			id := req.Header.Get(fake.HeaderRequestID)
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\na part", fake.HeaderRequestID, id, fake.HeaderSignature)
			end(con.(*net.TCPConn))
		}()
	}
}

// Guards against an answer that looks complete since its connection was reset while the request was still
// being sent.
func TestResetWhileSendingIsNoEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	go answerEarly(lsn, func(con *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		_ = con.SetLinger(0)
		_ = con.Close()
	})
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	for i := range 30 {
		id := fmt.Sprint(i)
		hdr := http.Header{fake.HeaderRequestID: {id}}
		rqs := Request{ID: id, Method: "POST", Host: "x", Target: "/", Header: hdr, Body: make([]byte, 16<<20)}
		rsp, end, _ := rel.Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
		if end != ending.Answered {
			continue
		}
		_, err := io.ReadAll(rsp.Body)
		gom.Expect(err).To(gomega.HaveOccurred())
		_ = rsp.Body.Close()
	}
}

// Guards against breaking off an answer that an endpoint gave before it had read the request's body.
func TestEarlyAnswerIsWhole(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	go answerEarly(lsn, func(con *net.TCPConn) {
		_ = con.CloseWrite()
		_, _ = io.Copy(io.Discard, con)
	})
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	for i := range 1000 {
		id := fmt.Sprint(i)
		hdr := http.Header{fake.HeaderRequestID: {id}}
		rqs := Request{ID: id, Method: "POST", Host: "x", Target: "/", Header: hdr, Body: make([]byte, 10<<10)}
		rsp, end, err := rel.Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(end).To(gomega.Equal(ending.Answered))
		text, err := io.ReadAll(rsp.Body)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(string(text)).To(gomega.Equal("a part"))
		_ = rsp.Body.Close()
	}
}

// Guards against breaking off a whole answer because the writing of its request goes on for a moment on a busy machine.
func TestEndWaitsForWriting(t *testing.T) {
	gom := gomega.NewWithT(t)
	wrt := &written{done: make(chan struct{})}
	time.AfterFunc(200*time.Millisecond, wrt.end)
	body := guardEnd(io.NopCloser(strings.NewReader("whole")), ending.CloseDelimited, wrt)
	text, err := io.ReadAll(body)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(string(text)).To(gomega.Equal("whole"))
}

// Guards against breaking off a whole answer because the transport closed its connection while the rest of the
// request was being written.
func TestOwnCloseIsNoFailedWrite(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	for _, reset := range []bool{false, true} {
		con, err := net.Dial("tcp", lsn.Addr().String())
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		far, err := lsn.Accept()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		wrt := &written{}
		tcn := &trackedConn{Conn: con, wrt: wrt}
		if reset {
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
			_, _ = con.Read(make([]byte, 1))
		} else {
			_ = tcn.Close()
		}
		_, err = tcn.Write([]byte("a part"))
		gom.Expect(err).To(gomega.HaveOccurred())
		gom.Expect(wrt.broken.Load()).To(gomega.Equal(reset))
		_ = con.Close()
		_ = far.Close()
	}
}
