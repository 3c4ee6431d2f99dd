package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/platform/fake"
)

// rawCaller writes requests as raw text, like a faulty or hostile caller.
type rawCaller struct {
	con net.Conn
	rdr *bufio.Reader
}

func (tbd *testbed) dialRaw() *rawCaller {
	con, err := net.Dial("tcp", tbd.nodes[0].set.CallerAddr())
	expect(err).NotTo(anything())
	ginkgo.DeferCleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	return &rawCaller{con: con, rdr: bufio.NewReader(con)}
}

// rawHead returns the head of a request with the given framing headers.
func rawHead(id string, framing ...string) string {
	lines := []string{
		"POST /booking/x HTTP/1.1", "Host: " + host, fake.HeaderRequestID + ": " + id,
		fake.HeaderAuthorize + ": " + fake.Bearer + key, fake.HeaderDeadline + ": 4000",
	}
	return strings.Join(append(lines, framing...), "\r\n") + "\r\n\r\n"
}

// send writes a text and reads one response; status is 0 if the connection was closed instead.
func (raw *rawCaller) send(text string) (status int, closes bool) {
	_, err := io.WriteString(raw.con, text)
	expect(err).NotTo(anything())
	res, err := http.ReadResponse(raw.rdr, nil)
	if err != nil {
		return 0, true
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Close
}

// closed reports whether the connection has been closed with nothing left to read.
func (raw *rawCaller) closed() bool {
	_, err := raw.rdr.ReadByte()
	return err != nil
}

var _ = ginkgo.Describe("a request body", func() {
	// Guards against a body that is still read, and a request that still runs, after its deadline.
	ginkgo.It("that does not arrive before the deadline is not waited for", func() {
		tbd := newTestbed(1)
		raw := tbd.dialRaw()
		head := strings.Replace(rawHead("slow", "Content-Length: 10"), fake.HeaderDeadline+": 4000", fake.HeaderDeadline+": 500", 1)
		began := time.Now()
		status, closes := raw.send(head + "half ")
		expect(status).To(equal(http.StatusServiceUnavailable))
		expect(closes).To(gomega.BeTrue())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		expect(raw.closed()).To(gomega.BeTrue())
		expect(runs(tbd.plain)).To(gomega.BeEmpty())
	})

	// Guards against connections that are closed at the deadline of an earlier request.
	ginkgo.It("that arrives in time leaves its connection open for later requests", func() {
		tbd := newTestbed(1)
		raw := tbd.dialRaw()
		head := strings.Replace(rawHead("quick", "Content-Length: 4"), fake.HeaderDeadline+": 4000", fake.HeaderDeadline+": 500", 1)
		status, _ := raw.send(head + "body")
		expect(status).To(equal(http.StatusOK))
		time.Sleep(700 * time.Millisecond)
		status, _ = raw.send(rawHead("later", "Content-Length: 4") + "body")
		expect(status).To(equal(http.StatusOK))
	})

	// Guards against request smuggling: if a proxy delimits a body by its length and this server by
	// its chunks, the end of the body would run as a booking that no caller sent.
	ginkgo.It("with ambiguous framing is refused, and nothing after it runs", func() {
		tbd := newTestbed(1)
		inner := rawHead("smuggled", "Content-Length: 0")
		for i, framing := range [][]string{
			{fmt.Sprintf("Content-Length: %d", len(inner)+5), "Transfer-Encoding: chunked"},
			{"transfer-encoding: chunked", fmt.Sprintf("content-length : %d", len(inner)+5)},
			{"Transfer-Encoding: chunked", "Content-Length: 5", "Content-Length: 5"},
			{"Content-Length: 5", "Content-Length: 6"},
			{"Transfer-Encoding: chunked, identity"},
		} {
			raw := tbd.dialRaw()
			status, closes := raw.send(rawHead(fmt.Sprintf("outer-%d", i), framing...) + "0\r\n\r\n" + inner)
			expect(status).To(gomega.BeNumerically(">=", http.StatusBadRequest), "%v", framing)
			expect(closes).To(gomega.BeTrue(), "%v", framing)
			expect(raw.closed()).To(gomega.BeTrue(), "%v", framing)
		}
		expect(runs(tbd.plain)).To(gomega.BeEmpty())
	})

	// Guards against checking the framing of only the first request on a connection: after valid
	// requests, one that is chunked and also has a length must be refused.
	ginkgo.It("is checked in every request of a connection", func() {
		tbd := newTestbed(1)
		raw := tbd.dialRaw()
		for i := range 3 {
			status, closes := raw.send(rawHead(fmt.Sprintf("chunked-%d", i), "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n")
			expect(status).To(equal(http.StatusOK))
			expect(closes).To(gomega.BeFalse())
			status, _ = raw.send(rawHead(fmt.Sprintf("sized-%d", i), "Content-Length: 3") + "abc")
			expect(status).To(equal(http.StatusOK))
		}
		// An unread body is not part of the next head.
		status, closes := raw.send(strings.Replace(rawHead("denied", "Content-Length: 26"), key, "wrong", 1) + "Content-Length: 5\r\n\r\n12345")
		expect(status).To(equal(http.StatusUnauthorized))
		expect(closes).To(gomega.BeFalse())
		status, _ = raw.send(rawHead("after", "Transfer-Encoding: chunked") + "0\r\n\r\n")
		expect(status).To(equal(http.StatusOK))
		before := len(runs(tbd.plain))
		status, closes = raw.send(rawHead("both", "Transfer-Encoding: chunked", "Content-Length: 3") + "3\r\nabc\r\n0\r\n\r\n")
		expect(status).To(equal(http.StatusBadRequest))
		expect(closes).To(gomega.BeTrue())
		expect(runs(tbd.plain)).To(gomega.HaveLen(before))
	})

	// A caller sends its second request before the response to the first. It is served too unless
	// its body is chunked: its head was read together with the first body, so it is not known
	// whether it had a length as well.
	ginkgo.It("of a pipelined request has certain framing, or the request is refused", func() {
		tbd := newTestbed(1)
		raw := tbd.dialRaw()
		status, _ := raw.send(rawHead("first", "Content-Length: 3") + "abc" + rawHead("second", "Content-Length: 3") + "abc" +
			rawHead("third", "Transfer-Encoding: chunked") + "0\r\n\r\n")
		expect(status).To(equal(http.StatusOK))
		status, _ = raw.send("")
		expect(status).To(equal(http.StatusOK))
		status, closes := raw.send("")
		expect(status).To(equal(http.StatusBadRequest))
		expect(closes).To(gomega.BeTrue())
		expect(runs(tbd.plain)).To(gomega.HaveLen(2))
	})
})
