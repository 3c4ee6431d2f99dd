package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// lateListener returns one connection that was accepted just as the listener was closed.
type lateListener struct {
	net.Listener
	con    net.Conn
	closed chan struct{}
	once   sync.Once
	given  bool
}

func (lsn *lateListener) Accept() (net.Conn, error) {
	<-lsn.closed
	if lsn.given {
		return nil, net.ErrClosed
	}
	lsn.given = true
	time.Sleep(20 * time.Millisecond)
	return lsn.con, nil
}

func (lsn *lateListener) Close() error {
	lsn.once.Do(func() { close(lsn.closed) })
	return nil
}

func textHandler() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wrt, "whole") })
}

// TestAcceptedAsTheListenerCloses guards against requests that are dropped on connections
// accepted while the listener closes.
func TestAcceptedAsTheListenerCloses(t *testing.T) {
	for range 8 {
		gom := gomega.NewWithT(t)
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		out, err := net.Dial("tcp", lsn.Addr().String())
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		con, err := lsn.Accept()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(out, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		srv := New(&lateListener{Listener: lsn, con: con, closed: make(chan struct{})}, textHandler())
		ended := make(chan struct{})
		go func() {
			srv.Serve()
			close(ended)
		}()
		// The accept loop must be running, as it is in an instance.
		time.Sleep(5 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		srv.Shutdown(ctx)
		cancel()
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(out), nil)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(res.Body)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(string(body)).To(gomega.Equal("whole"))
		<-ended
		srv.Close()
		_, _ = out.Close(), lsn.Close()
	}
}

// heldListener accepts nothing until it is released.
type heldListener struct {
	*net.TCPListener
	release chan struct{}
}

func (lsn *heldListener) Accept() (net.Conn, error) {
	<-lsn.release
	return lsn.TCPListener.Accept()
}

// queuedRequests dials a listener whose connections are not accepted and sends a request on each.
func queuedRequests(t *testing.T, lsn net.Listener, count int) []net.Conn {
	var outs []net.Conn
	for range count {
		out, err := net.Dial("tcp", lsn.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = out.Close() })
		if _, err := io.WriteString(out, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		outs = append(outs, out)
	}
	return outs
}

// TestQueuedAsTheListenerCloses guards against requests that the kernel resets because a
// shutdown closes the listener before their connections were accepted.
func TestQueuedAsTheListenerCloses(t *testing.T) {
	for name, begin := range map[string]func(lsn net.Listener) (serve, shutdown func()){
		"with limits that change": func(lsn net.Listener) (serve, shutdown func()) {
			srv := New(lsn, textHandler())
			return srv.Serve, func() { srv.Shutdown(t.Context()) }
		},
		"plain": func(lsn net.Listener) (serve, shutdown func()) {
			drn := NewDrainServer(textHandler(), lsn, 2)
			return drn.Serve, func() { drn.Shutdown(t.Context()) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			gom := gomega.NewWithT(t)
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			lsn := &heldListener{TCPListener: tcp.(*net.TCPListener), release: make(chan struct{})}
			serve, shutdown := begin(lsn)
			outs := queuedRequests(t, lsn, 5)
			go serve()
			time.Sleep(20 * time.Millisecond)
			go shutdown()
			time.Sleep(20 * time.Millisecond)
			// Only now does the accepting goroutine run.
			close(lsn.release)
			for _, out := range outs {
				_ = out.SetReadDeadline(time.Now().Add(time.Second))
				res, err := http.ReadResponse(bufio.NewReader(out), nil)
				gom.Expect(err).NotTo(gomega.HaveOccurred())
				gom.Expect(res.StatusCode).To(gomega.Equal(http.StatusOK))
			}
		})
	}
}

// TestRequestRightAfterShutdownBegan guards against requests that net/http drops because their
// heads arrive after Shutdown began.
func TestRequestRightAfterShutdownBegan(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	srv := New(lsn, textHandler())
	go srv.Serve()
	out, err := net.Dial("tcp", lsn.Addr().String())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(20 * time.Millisecond)
	ended := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		srv.Shutdown(ctx)
		close(ended)
	}()
	time.Sleep(30 * time.Millisecond)
	began := time.Now()
	_, _ = io.WriteString(out, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = out.SetReadDeadline(time.Now().Add(time.Second))
	res, err := http.ReadResponse(bufio.NewReader(out), nil)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(res.Close).To(gomega.BeTrue())
	gom.Eventually(ended, time.Second).Should(gomega.BeClosed())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// TestShutdownIsBoundedWithAnIdleConnection guards against a shutdown that exceeds its timeout
// because of a connection on which nothing arrives.
func TestShutdownIsBoundedWithAnIdleConnection(t *testing.T) {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	srv := New(lsn, textHandler())
	go srv.Serve()
	out, err := net.Dial("tcp", lsn.Addr().String())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	srv.Shutdown(ctx)
	srv.Close()
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
	_ = out.Close()
}
