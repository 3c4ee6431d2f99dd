package feed

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
)

// TestDroppedRecordsAreNotAppended guards against claims that are appended to the log although
// their attempts were cancelled while an earlier append was in flight.
func TestDroppedRecordsAreNotAppended(t *testing.T) {
	gom := gomega.NewWithT(t)
	plt := stand.NewPlatform(clock.Clock{}, clock.Day, 0)
	srv := httptest.NewServer(plt.Handler())
	defer srv.Close()
	mtr := meter.New()
	app := NewAppender(Setup{Platform: platf.New(srv.URL), Meter: mtr}, platf.StreamClaims)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go app.Run(ctx)

	plt.SetFaults(stand.Faults{HoldAppends: true})
	until := clock.Clock{}.Now() + clock.Minute
	app.Add(Record{Body: json.RawMessage(`"ahead"`), Expires: until})
	gom.Eventually(func() int { return len(plt.PendingAppends(platf.StreamClaims)) }).Should(gomega.Equal(1))
	var cancelled atomic.Bool
	app.Add(Record{Body: json.RawMessage(`"given up"`), Expires: until, Cancelled: cancelled.Load})
	app.Add(Record{Body: json.RawMessage(`"behind"`), Expires: until})
	cancelled.Store(true)
	plt.SetFaults(stand.Faults{})

	gom.Eventually(app.Empty, "10s").Should(gomega.BeTrue())
	var bodies []string
	for _, rec := range plt.Records(platf.StreamClaims) {
		bodies = append(bodies, string(rec.Body))
	}
	gom.Expect(bodies).To(gomega.ContainElements(`"ahead"`, `"behind"`))
	gom.Expect(bodies).NotTo(gomega.ContainElement(`"given up"`))
	res := httptest.NewRecorder()
	mtr.Handler().ServeHTTP(res, httptest.NewRequest(http.MethodGet, "/", nil))
	gom.Expect(res.Body.String()).To(gomega.ContainSubstring(`amv_events_total{kind="append_dropped"} 1`))
}

// TestAppendIsRepeatedAfterALostReply guards against records that are missing from the log
// because an append was not repeated after its answer had been lost.
func TestAppendIsRepeatedAfterALostReply(t *testing.T) {
	gom := gomega.NewWithT(t)
	plt := stand.NewPlatform(clock.Clock{}, clock.Day, 0)
	srv := httptest.NewServer(plt.Handler())
	defer srv.Close()
	app := NewAppender(Setup{Platform: platf.New(srv.URL), Meter: meter.New()}, platf.StreamClaims)
	go app.Run(t.Context())
	plt.SetFaults(stand.Faults{LoseReplies: 1})
	app.Add(Record{Body: json.RawMessage(`"one"`), Expires: clock.Clock{}.Now() + clock.Minute})
	gom.Eventually(app.Empty, "10s").Should(gomega.BeTrue())
	gom.Expect(plt.Records(platf.StreamClaims)).To(gomega.HaveLen(2), "once for the lost reply, once again")
}
