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

	"amaranthvalve/internal/story"
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
	lines, err := story.Lines(bytes.NewReader(lbf.buf.Bytes()), id)
	expect(err).NotTo(anything())
	story.Sort(lines)
	var out strings.Builder
	for _, line := range lines {
		out.WriteString(line.Text(lines[0].At()) + "\n")
	}
	return out.String()
}

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
				fake.HeaderPieces: "1,1", fake.HeaderPieceKey: "pk", fake.HeaderDeadline: left,
			}})
		}
		expect(staged("refused", "30").status).To(equal(http.StatusServiceUnavailable))
		eventually(func() string { return lbf.explain("refused") }, soon).Should(gomega.MatchRegexp(`request ended: .*outcome=not_run reason=hopeless detail=\d+ ms are needed and \d+ left`))

		for _, mkr := range wld.makers {
			mkr.Takes = 150 * time.Millisecond
		}
		expect(staged("late", "4000").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("late") }, soon).Should(gomega.MatchRegexp(`(?s)stage waited: .*pool=rosters.*took_ms=\d{3}.*request ended: .*outcome=done.*staged_ms=\d{3}`))

		fault(wld.plain, fake.Cuts)
		expect(wld.send(0, ask{path: "/booking/x", id: "broken"}).status).To(equal(http.StatusBadGateway))
		eventually(func() string { return lbf.explain("broken") }, soon).Should(gomega.MatchRegexp(`(?s)attempt failed: .*ending=cut endpoint=booking-\d.*request ended: .*reason=connection_cut`))
	})
})
