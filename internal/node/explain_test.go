package node

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/reqlog"
	"amaranthvalve/platform/fake"
)

// logBuffer keeps what instances write.
type logBuffer struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (lbf *logBuffer) Write(text []byte) (int, error) {
	lbf.mtx.Lock()
	defer lbf.mtx.Unlock()
	return lbf.buf.Write(text)
}

// explain gives what "amv explain" tells of a request, as the operators' page has it.
func (lbf *logBuffer) explain(id string) string {
	lbf.mtx.Lock()
	defer lbf.mtx.Unlock()
	lines, err := reqlog.Read(bytes.NewReader(lbf.buf.Bytes()), id)
	expect(err).NotTo(anything())
	reqlog.Sort(lines)
	var out strings.Builder
	for _, line := range lines {
		out.WriteString(line.Format(lines[0].At()) + "\n")
	}
	return out.String()
}

var _ = ginkgo.Describe("a caller that comes back", func() {
	// A caller is refused at one instance and comes back to another one, under a new name
	// and with less time. It is known there: its goal counts from when it came first, so
	// that it goes before those who came after it. Told by its time alone it was taken
	// for a newcomer, since callers of one kind say different times. Another request of
	// the same kind is one.
	ginkgo.It("is known at another instance", func() {
		lbf := &logBuffer{}
		nodeLog = zerolog.New(lbf).With().Timestamp().Logger()
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		wld := newWorld(2)
		staged := func(node int, id, left, key string) got {
			return wld.send(node, ask{path: "/stream-staged/x", id: id, body: "the same", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: key, fake.HeaderDeadline: left,
			}})
		}
		expect(staged(0, "first", "30", "pk1").status).To(equal(http.StatusServiceUnavailable))
		time.Sleep(50 * time.Millisecond)
		expect(staged(1, "again", "3950", "pk1").status).To(equal(http.StatusOK))
		expect(staged(1, "other", "3950", "pk2").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("again") }, soon).Should(gomega.MatchRegexp(`spent_ms=([5-9]\d|\d{3,})`))
		eventually(func() string { return lbf.explain("other") }, soon).Should(gomega.ContainSubstring("spent_ms=0"))
	})
})

var _ = ginkgo.Describe("the operators' page", func() {
	// A caller says that its request was refused, came late, or broke off. From its
	// name the lines lead to the cause: the pool that is short of time, the stage
	// that waited, the endpoint that cut.
	ginkgo.It("leads from a failed request to its cause", func() {
		lbf := &logBuffer{}
		nodeLog = zerolog.New(lbf).With().Timestamp().Logger()
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		wld := newWorld(1)
		staged := func(id, left string) got {
			return wld.send(0, ask{path: "/stream-staged/x", id: id, header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk", fake.HeaderDeadline: left,
			}})
		}
		expect(staged("refused", "30").status).To(equal(http.StatusServiceUnavailable))
		eventually(func() string { return lbf.explain("refused") }, soon).Should(gomega.MatchRegexp(`request ended: .*outcome=not_run reason=hopeless detail=\d+ ms are needed and \d+ left`))

		for _, mkr := range wld.makers {
			mkr.Duration = 150 * time.Millisecond
		}
		expect(staged("late", "4000").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("late") }, soon).Should(gomega.MatchRegexp(`(?s)stage slow or failed: .*pool=rosters.*took_ms=\d{3}.*request ended: .*outcome=done.*staged_ms=\d{3}`))

		fault(wld.plain, fake.Cuts)
		expect(wld.send(0, ask{path: "/booking/x", id: "broken"}).status).To(equal(http.StatusBadGateway))
		eventually(func() string { return lbf.explain("broken") }, soon).Should(gomega.MatchRegexp(`(?s)attempt failed: .*ending=cut endpoint=booking-\d.*request ended: .*reason=connection_cut`))
	})
})
