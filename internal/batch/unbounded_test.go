package batch

import (
	"context"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// Guards against an endpoint that answers queries or releases without end and still gets batches, as one would whose
// batches fail.
func TestUnboundedQueryEjects(t *testing.T) {
	for name, ask := range map[string]func(pol *pool){
		"query": func(pol *pool) { _, _ = pol.queryFreeStorage(pol.endpoints[0]) },
		"release": func(pol *pool) {
			pol.pendingReleases["a:1"] = []string{"one"}
			pol.sendReleases("a:1", "")
		},
	} {
		for _, endless := range []bool{false, true} {
			gom := gomega.NewWithT(t)
			var failed error
			if endless {
				failed = &bounds.Error{What: "the answer", Bytes: 1}
			}
			dia := &proto.Dialect{
				Free:        func(context.Context, *http.Client, string, []string) error { return failed },
				FreeStorage: func(context.Context, *http.Client, proto.Endpoint) (int64, error) { return 1000, failed },
			}
			pol := newPool("ranks", Setup{Dialect: dia, Meter: meter.New(), Log: zerolog.Nop(), Window: clock.Second, After: func(clock.Milli, func()) {}, MaySend: func(ident.Process, string) bool { return true }, MaySendTo: func(string, string) bool { return true }})
			pol.sync(plan.DraftBatch{Slots: 1, MaxItems: 1, BatchMs: 10, ItemMs: 1}, []gather.Endpoint{{ID: "rank-1", Addr: "a:1"}}, nil, false)
			ask(pol)
			now := pol.set.Clock.Now()
			pol.sched.Add(gather.Item{ID: 1, Job: 1, Due: now + clock.Minute, Expires: now + clock.Minute})
			_, sent := pol.sched.Next(now)
			gom.Expect(sent).To(gomega.Equal(!endless), name)
		}
	}
}
