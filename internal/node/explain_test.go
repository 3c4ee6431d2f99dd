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

// logBuffer collects the log output of instances.
type logBuffer struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (lbf *logBuffer) Write(text []byte) (int, error) {
	lbf.mtx.Lock()
	defer lbf.mtx.Unlock()
	return lbf.buf.Write(text)
}

// explain returns the output of "amv explain" for a request.
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

var _ = ginkgo.Describe("a caller that retries", func() {
	// A caller is refused by one instance and retries at another one with a new request ID and
	// less time. The other instance recognizes it, so that its target latency counts from the
	// first attempt and it is queued before requests that arrived later. Guards against
	// recognition by the deadline alone, which takes a retry for a new request because callers of
	// one kind send different deadlines. A different request of the same kind counts as new.
	ginkgo.It("is recognized by another instance", func() {
		lbf := &logBuffer{}
		nodeLog = zerolog.New(lbf).With().Timestamp().Logger()
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		tbd := newTestbed(2)
		staged := func(node int, id, left, key string) response {
			return tbd.send(node, request{path: "/stream-staged/x", id: id, body: "the same", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: key, fake.HeaderDeadline: left,
			}})
		}
		expect(staged(0, "first", "30", "pk1").status).To(equal(http.StatusServiceUnavailable))
		time.Sleep(50 * time.Millisecond)
		expect(staged(1, "again", "3950", "pk1").status).To(equal(http.StatusOK))
		expect(staged(1, "other", "3950", "pk2").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("again") }, pollTimeout).Should(gomega.MatchRegexp(`spent_ms=([5-9]\d|\d{3,})`))
		eventually(func() string { return lbf.explain("other") }, pollTimeout).Should(gomega.ContainSubstring("spent_ms=0"))
	})
})

var _ = ginkgo.Describe("the operators' page", func() {
	// A caller reports that its request was refused, late or cut off. The log lines with its
	// request ID lead to the cause: the pool without enough time, the stage that waited or the
	// endpoint that cut the connection.
	ginkgo.It("leads from a failed request to its cause", func() {
		lbf := &logBuffer{}
		nodeLog = zerolog.New(lbf).With().Timestamp().Logger()
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		tbd := newTestbed(1)
		staged := func(id, left string) response {
			return tbd.send(0, request{path: "/stream-staged/x", id: id, header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk", fake.HeaderDeadline: left,
			}})
		}
		expect(staged("refused", "30").status).To(equal(http.StatusServiceUnavailable))
		eventually(func() string { return lbf.explain("refused") }, pollTimeout).Should(gomega.MatchRegexp(`request ended: .*outcome=not_run reason=hopeless detail=\d+ ms are needed and \d+ left`))

		for _, stg := range tbd.stages {
			stg.Duration = 150 * time.Millisecond
		}
		expect(staged("late", "4000").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("late") }, pollTimeout).Should(gomega.MatchRegexp(`(?s)stage slow or failed: .*pool=rosters.*took_ms=\d{3}.*request ended: .*outcome=done.*staged_ms=\d{3}`))

		injectFaults(tbd.plain, fake.Cuts)
		expect(tbd.send(0, request{path: "/booking/x", id: "broken"}).status).To(equal(http.StatusBadGateway))
		eventually(func() string { return lbf.explain("broken") }, pollTimeout).Should(gomega.MatchRegexp(`(?s)attempt failed: .*ending=cut endpoint=booking-\d.*request ended: .*reason=connection_cut`))
	})
})
