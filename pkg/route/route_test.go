package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

func TestMain(m *testing.M) { golden.Main(m) }

func pool(n int) *Pool {
	pl := New("dc1", rand.New(rand.NewPCG(1, 1)))
	pl.Sync(endpoints(n))
	return pl
}

func endpoints(n int) []Endpoint {
	eps := make([]Endpoint, n)
	for i := range eps {
		eps[i] = Endpoint{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: "dc1"}
	}
	return eps
}

// TestLeavingGetsNothing guards against selecting an endpoint that is leaving, for any
// order of events, also when the lagging list still shows it as live.
func TestLeavingGetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pl := New("dc1", rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		pl.Sync(endpoints(4))
		left := map[string]bool{}
		busy := []string{}
		now := clock.Milli(1000)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 3000).Draw(t, "passes"))
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				pl.Leave(id)
				left[id] = true
			case 1:
				pl.Sync(endpoints(4))
			case 2:
				pl.Report(id, rapid.Float64Range(0, 50).Draw(t, "load"), now)
			case 3:
				if len(busy) > 0 {
					out := Outcome(rapid.IntRange(int(Success), int(Cancelled)).Draw(t, "verdict"))
					pl.Finish(busy[0], out, clock.Milli(rapid.IntRange(0, 5000).Draw(t, "took")), now)
					busy = busy[1:]
				}
			default:
				if ep, ok := pl.Pick(Ask{}, now); ok {
					if left[ep.ID] {
						t.Fatalf("%s is leaving and was picked", ep.ID)
					}
					busy = append(busy, ep.ID)
				}
			}
		}
		if pl.InFlight() != len(busy) {
			t.Fatalf("%d requests in flight, %d counted", len(busy), pl.InFlight())
		}
	})
}

// Guards against requests to an endpoint that is withheld, by choice, as a probe or by name, and against one that is
// never used again or has lost its count of requests when it no longer is.
func TestWithheldGetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		pl := New("dc1", rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		pl.Sync(endpoints(3))
		_, ok := pl.Begin("e0")
		gom.Expect(ok).To(gomega.BeTrue())
		if rapid.Bool().Draw(t, "ejected") {
			for range 20 {
				pl.Begin("e0")
				pl.Finish("e0", Failure, 10, 100)
			}
		}
		withheld := endpoints(3)
		withheld[0].Withheld = true
		pl.Sync(withheld)
		gom.Expect(pl.Usable()).To(gomega.Equal(2))
		for now := clock.Milli(200); now < 40*clock.Second; now += clock.Second {
			ep, ok := pl.Pick(Ask{}, now)
			gom.Expect(ok).To(gomega.BeTrue())
			gom.Expect(ep.ID).NotTo(gomega.Equal("e0"))
			pl.Finish(ep.ID, Success, 10, now)
		}
		_, ok = pl.Begin("e0")
		gom.Expect(ok).To(gomega.BeFalse())
		_, ok = pl.Pick(Ask{Avoid: []string{"e1", "e2"}}, 41*clock.Second)
		gom.Expect(ok).To(gomega.BeFalse())
		pl.Sync(endpoints(3))
		gom.Expect(pl.InFlight()).To(gomega.Equal(1))
		ep, ok := pl.Pick(Ask{Avoid: []string{"e1", "e2"}}, 42*clock.Second)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(ep.ID).To(gomega.Equal("e0"))
	})
}

// TestSlowEndpointIsEjectedAndRecovers: one of four endpoints becomes ten times slower.
// It soon gets no requests but single probes, and gets its share again after its
// recovery.
func TestSlowEndpointIsEjectedAndRecovers(t *testing.T) {
	gom := gomega.NewWithT(t)
	pl := pool(4)
	now := clock.Milli(1000)
	serve := func(n int, slow clock.Milli) (slowCount int) {
		for range n {
			now += 20
			ep, ok := pl.Pick(Ask{}, now)
			gom.Expect(ok).To(gomega.BeTrue())
			took := clock.Milli(50)
			if ep.ID == "e0" {
				took = slow
				slowCount++
			}
			pl.Finish(ep.ID, Success, took, now)
		}
		return slowCount
	}
	gom.Expect(serve(200, 50)).To(gomega.BeNumerically(">", 20))
	gom.Expect(serve(500, 500)).To(gomega.BeNumerically("<", 20))
	serve(1000, 50)
	gom.Expect(serve(200, 50)).To(gomega.BeNumerically(">", 20))
}

// TestEntriesSpreadCallers guards against directing 1000 simultaneous callers to the
// instance with the lowest load. Each gets three instances, the last one in another
// data centre.
func TestEntriesSpreadCallers(t *testing.T) {
	gom := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	cands := []Entry{{"a", "dc1", "", 0}, {"b", "dc1", "", 40}, {"c", "dc1", "", 41}, {"d", "dc2", "", 3}}
	first := map[string]int{}
	for range 1000 {
		list := Entries(cands, "dc1", rng)
		gom.Expect(list).To(gomega.HaveLen(3))
		gom.Expect(list[2].Zone).To(gomega.Equal("dc2"))
		first[list[0].Addr]++
	}
	gom.Expect(first["a"]).To(gomega.BeNumerically("<", 700))
	gom.Expect(first["c"]).To(gomega.BeNumerically(">", 50))
}

func ExamplePool() {
	pl := New("dc1", rand.New(rand.NewPCG(1, 1)))
	pl.Sync([]Endpoint{{ID: "engine-1", Addr: "10.0.0.1:8000", Zone: "dc1"}})
	ep, ok := pl.Pick(Ask{}, 1000)
	fmt.Println(ep.Addr, ok)
	pl.Finish(ep.ID, Success, 20, 1020)
	pl.Leave("engine-1")
	_, ok = pl.Pick(Ask{}, 1030)
	fmt.Println(ok)
	// Output:
	// 10.0.0.1:8000 true
	// false
}

func benchmarkPick(b *testing.B, n int) {
	pl := pool(n)
	b.ReportAllocs()
	for i := range b.N {
		ep, ok := pl.Pick(Ask{Prefix: uint64(i%40) + 1}, clock.Milli(i))
		if ok {
			pl.Finish(ep.ID, Success, 50, clock.Milli(i))
		}
	}
}

func BenchmarkPick31(b *testing.B)   { benchmarkPick(b, 31) }
func BenchmarkPick1000(b *testing.B) { benchmarkPick(b, 1000) }
