package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

func TestMain(m *testing.M) { golden.Main(m) }

func ignore(Outcome, clock.Milli) {}

// TestBurstDelaysOnlyItsWorkspace guards against a burst that delays other workspaces:
// a large workspace has 100 requests queued when a request of a small one arrives.
// With equal shares the latter is among the next two served.
func TestBurstDelaysOnlyItsWorkspace(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	var order []string
	join := func(wsp string) {
		_, res := que.Join(Ask{Workspace: wsp, Share: 1, Deadline: clock.Hour}, 1000, func(Outcome, clock.Milli) { order = append(order, wsp) })
		gom.Expect(res).To(gomega.Equal(Queued))
	}
	for range 100 {
		join("large")
	}
	que.Serve(1001)
	join("small")
	que.Serve(1002)
	que.Serve(1003)
	gom.Expect(order).To(gomega.ContainElement("small"))
}

// TestServiceFollowsShares: while two workspaces have requests queued, they are served
// in proportion to their shares.
func TestServiceFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var que Queue
		shares := map[string]int{"a": rapid.IntRange(1, 4).Draw(t, "a"), "b": rapid.IntRange(1, 4).Draw(t, "b")}
		served := map[string]int{}
		for range 60 {
			for wsp, share := range shares {
				_, _ = que.Join(Ask{Workspace: wsp, Share: share, Deadline: clock.Hour}, 1, func(out Outcome, _ clock.Milli) {
					if out == Served {
						served[wsp]++
					}
				})
			}
		}
		for range rapid.IntRange(10, 50).Draw(t, "servings") {
			que.Serve(2)
		}
		got := float64(served["a"])/float64(shares["a"]) - float64(served["b"])/float64(shares["b"])
		if got > 1.01 || got < -1.01 {
			t.Fatalf("shares %v, served %v", shares, served)
		}
	})
}

// TestNoRequestIsServedLate: a request whose remaining time is shorter than its
// estimate is never served, and each queued request gets exactly one outcome.
func TestNoRequestIsServedLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var que Queue
		now := clock.Milli(1)
		outcomes := map[int]int{}
		joined := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 50).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "join") {
				ask := Ask{
					Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"), Share: 1, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Estimate: clock.Milli(rapid.IntRange(0, 40).Draw(t, "need")), Deadline: now + clock.Milli(rapid.IntRange(0, 200).Draw(t, "deadline")),
				}
				_, res := que.Join(ask, now, func(out Outcome, at clock.Milli) {
					outcomes[i]++
					if out == Served && at+ask.Estimate > ask.Deadline {
						t.Fatalf("served at %d ms with an estimate of %d ms, deadline %d ms", at, ask.Estimate, ask.Deadline)
					}
				})
				if res == Queued {
					joined++
				}
			} else {
				que.Serve(now)
			}
		}
		que.Expire(now + clock.Hour)
		if len(outcomes) != joined {
			t.Fatalf("%d requests were queued, %d got an outcome", joined, len(outcomes))
		}
		for i, n := range outcomes {
			if n != 1 {
				t.Fatalf("request %d got %d outcomes", i, n)
			}
		}
	})
}

// TestBookingDisplacesDraft guards against a queue full of drafts that refuses
// bookings: a booking is queued, the last draft is displaced, and the booking is
// served next. One more draft is refused.
func TestBookingDisplacesDraft(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	displaced, served := 0, ""
	join := func(priority int, name string) JoinResult {
		_, res := que.Join(Ask{Workspace: "w", Share: 1, Priority: priority, Deadline: clock.Hour}, 1, func(out Outcome, _ clock.Milli) {
			if out == Displaced {
				displaced++
			} else if served == "" {
				served = name
			}
		})
		return res
	}
	for range maxQueued {
		gom.Expect(join(3, "draft")).To(gomega.Equal(Queued))
	}
	gom.Expect(join(3, "draft")).To(gomega.Equal(Full))
	gom.Expect(join(9, "booking")).To(gomega.Equal(Queued))
	gom.Expect(displaced).To(gomega.Equal(1))
	que.Serve(2)
	gom.Expect(served).To(gomega.Equal("booking"))
}

// TestStaleEstimateExpires guards against a stage that is refused for ever: it was so
// slow that every request is refused on arrival, so there are no new samples. The
// estimate falls back to the guess once it is stale, and the next request measures
// whether the stage has recovered.
func TestStaleEstimateExpires(t *testing.T) {
	gom := gomega.NewWithT(t)
	var est Estimator
	for range 50 {
		est.Sample(20*clock.Second, 1000)
	}
	gom.Expect(est.Upper(100, 1001)).To(gomega.BeNumerically(">", 12*clock.Second))
	gom.Expect(est.Upper(100, 1000+6*clock.Second)).To(gomega.Equal(clock.Milli(100)))
}

// TestRetriesStayWithinBudget: every call fails while requests are queued. Retries
// stay at a tenth of the first attempts plus the reserve, for the exception beyond the
// budget applies only while the queue is empty.
func TestRetriesStayWithinBudget(t *testing.T) {
	gom := gomega.NewWithT(t)
	pl := route.New("dc1", rand.New(rand.NewPCG(1, 1)))
	pl.Sync([]route.Endpoint{{ID: "e", Zone: "dc1"}})
	gate := NewGate(pl)
	for range 16 {
		_, _, _ = gate.Enter(route.Ask{}, Ask{Deadline: clock.Hour, Share: 1}, 1, func(route.Endpoint, Outcome) {})
	}
	retries := 0
	for range 1000 {
		gate.RecordAttempt()
		if gate.TakeRetry(retry.BoundsFor(false)) {
			retries++
		}
	}
	gom.Expect(retries).To(gomega.BeNumerically("~", 110, 2))
}

func ExampleQueue() {
	var que Queue
	for _, who := range []string{"large", "large", "small"} {
		_, _ = que.Join(Ask{Workspace: who, Share: 1, Deadline: 5000}, 1000, func(Outcome, clock.Milli) { fmt.Println(who) })
	}
	for range 3 {
		que.Serve(1001)
	}
	// Output:
	// large
	// small
	// large
}

func BenchmarkAdmission1100(b *testing.B) {
	var que Queue
	for i := range 1000 {
		_, _ = que.Join(Ask{Workspace: fmt.Sprintf("w%d", i), Share: 1, Deadline: clock.Hour}, 1, ignore)
	}
	names := make([]string, 1100)
	for i := range names {
		names[i] = fmt.Sprintf("w%d", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, _ = que.Join(Ask{Workspace: names[i%1100], Share: 1, Deadline: clock.Hour}, 2, ignore)
		que.Serve(2)
	}
}
