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

// rawCaller writes requests byte by byte, as a faulty or hostile caller does.
type rawCaller struct {
	con net.Conn
	rdr *bufio.Reader
}

func (wld *world) dialRaw() *rawCaller {
	con, err := net.Dial("tcp", wld.nodes[0].set.CallerAddr())
	expect(err).NotTo(anything())
	ginkgo.DeferCleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	return &rawCaller{con: con, rdr: bufio.NewReader(con)}
}

// rawHead gives a request's head up to its framing.
func rawHead(id string, framing ...string) string {
	lines := []string{
		"POST /booking/x HTTP/1.1", "Host: " + host, fake.HeaderRequestID + ": " + id,
		fake.HeaderAuthorize + ": " + fake.Bearer + key, fake.HeaderDeadline + ": 4000",
	}
	return strings.Join(append(lines, framing...), "\r\n") + "\r\n\r\n"
}

// send writes a text and reads one answer; 0 for a connection that ended instead.
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

// ended tells whether nothing more comes and the connection has ended.
func (raw *rawCaller) ended() bool {
	_, err := raw.rdr.ReadByte()
	return err != nil
}

var _ = ginkgo.Describe("a request's end", func() {
	// Guards against a body that is read on, and later runs, when its request's time is up.
	ginkgo.It("that doesn't come in the request's time is not waited for", func() {
		wld := newWorld(1)
		raw := wld.dialRaw()
		head := strings.Replace(rawHead("slow", "Content-Length: 10"), fake.HeaderDeadline+": 4000", fake.HeaderDeadline+": 500", 1)
		began := time.Now()
		status, closes := raw.send(head + "half ")
		expect(status).To(equal(http.StatusServiceUnavailable))
		expect(closes).To(gomega.BeTrue())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		expect(raw.ended()).To(gomega.BeTrue())
		expect(runs(wld.plain)).To(gomega.BeEmpty())
	})

	// Guards against connections that end because an earlier request's time is up.
	ginkgo.It("in time leaves its connection to later requests", func() {
		wld := newWorld(1)
		raw := wld.dialRaw()
		head := strings.Replace(rawHead("quick", "Content-Length: 4"), fake.HeaderDeadline+": 4000", fake.HeaderDeadline+": 500", 1)
		status, _ := raw.send(head + "body")
		expect(status).To(equal(http.StatusOK))
		time.Sleep(700 * time.Millisecond)
		status, _ = raw.send(rawHead("later", "Content-Length: 4") + "body")
		expect(status).To(equal(http.StatusOK))
	})

	// A proxy before us reads a body by its length, the server by its chunks. What
	// the one took for the rest of a body would run as a booking that nobody sent.
	ginkgo.It("that can be read in two ways is refused, and nothing behind it runs", func() {
		wld := newWorld(1)
		inner := rawHead("smuggled", "Content-Length: 0")
		for i, framing := range [][]string{
			{fmt.Sprintf("Content-Length: %d", len(inner)+5), "Transfer-Encoding: chunked"},
			{"transfer-encoding: chunked", fmt.Sprintf("content-length : %d", len(inner)+5)},
			{"Transfer-Encoding: chunked", "Content-Length: 5", "Content-Length: 5"},
			{"Content-Length: 5", "Content-Length: 6"},
			{"Transfer-Encoding: chunked, identity"},
		} {
			raw := wld.dialRaw()
			status, closes := raw.send(rawHead(fmt.Sprintf("outer-%d", i), framing...) + "0\r\n\r\n" + inner)
			expect(status).To(gomega.BeNumerically(">=", http.StatusBadRequest), "%v", framing)
			expect(closes).To(gomega.BeTrue(), "%v", framing)
			expect(raw.ended()).To(gomega.BeTrue(), "%v", framing)
		}
		expect(runs(wld.plain)).To(gomega.BeEmpty())
	})

	// A caller that was served sends a second request on its connection, and that one
	// has two lengths. That its connection was good before changes nothing.
	ginkgo.It("is looked at in every request of a connection", func() {
		wld := newWorld(1)
		raw := wld.dialRaw()
		for i := range 3 {
			status, closes := raw.send(rawHead(fmt.Sprintf("chunked-%d", i), "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n")
			expect(status).To(equal(http.StatusOK))
			expect(closes).To(gomega.BeFalse())
			status, _ = raw.send(rawHead(fmt.Sprintf("sized-%d", i), "Content-Length: 3") + "abc")
			expect(status).To(equal(http.StatusOK))
		}
		// A body that nobody read is no part of the next head.
		status, closes := raw.send(strings.Replace(rawHead("denied", "Content-Length: 26"), key, "wrong", 1) + "Content-Length: 5\r\n\r\n12345")
		expect(status).To(equal(http.StatusUnauthorized))
		expect(closes).To(gomega.BeFalse())
		status, _ = raw.send(rawHead("after", "Transfer-Encoding: chunked") + "0\r\n\r\n")
		expect(status).To(equal(http.StatusOK))
		before := len(runs(wld.plain))
		status, closes = raw.send(rawHead("both", "Transfer-Encoding: chunked", "Content-Length: 3") + "3\r\nabc\r\n0\r\n\r\n")
		expect(status).To(equal(http.StatusBadRequest))
		expect(closes).To(gomega.BeTrue())
		expect(runs(wld.plain)).To(gomega.HaveLen(before))
	})

	// A caller sends its second request before the first one's answer. It is served
	// too, unless it comes in chunks: its head was read along with the first body, and
	// whether it names a length as well can't be told.
	ginkgo.It("is certain for requests that come too soon, or they are refused", func() {
		wld := newWorld(1)
		raw := wld.dialRaw()
		status, _ := raw.send(rawHead("first", "Content-Length: 3") + "abc" + rawHead("second", "Content-Length: 3") + "abc" +
			rawHead("third", "Transfer-Encoding: chunked") + "0\r\n\r\n")
		expect(status).To(equal(http.StatusOK))
		status, _ = raw.send("")
		expect(status).To(equal(http.StatusOK))
		status, closes := raw.send("")
		expect(status).To(equal(http.StatusBadRequest))
		expect(closes).To(gomega.BeTrue())
		expect(runs(wld.plain)).To(gomega.HaveLen(2))
	})
})
