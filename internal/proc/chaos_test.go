package proc

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
)

const (
	chaosNodes   = 3
	chaosCallers = 4
	chaosRounds  = 8
	maxRepeats   = 4
)

// fate is what the callers were told about one key.
type fate struct {
	told  []string
	final string
}

// chaos is a run of two faults at a time over the processes.
type chaos struct {
	*world
	rng   *rand.Rand
	mtx   sync.Mutex
	fates map[string]*fate
	over  chan struct{}
}

var _ = ginkgo.Describe("two faults at once", func() {
	// For a bounded time two faults at a time, drawn from a fixed schedule, hit
	// instances, endpoints and the platform, while callers book, repeat at other
	// instances and ask for plans. At the end every promise is checked from the
	// stand-ins' own records: nothing ran twice, nothing that was told "not run"
	// ran, what was told "done" ran once, and no document reverted.
	ginkgo.It("break no promise", func() {
		seed := uint64(20261202)
		if text := os.Getenv("AMV_CHAOS_SEED"); text != "" {
			seed, _ = strconv.ParseUint(text, 10, 64)
		}
		rounds := chaosRounds
		if text := os.Getenv("AMV_CHAOS_ROUNDS"); text != "" {
			rounds, _ = strconv.Atoi(text)
		}
		chs := &chaos{
			world: newWorld(chaosNodes, "fresh_ms = 2000"), rng: rand.New(rand.NewPCG(seed, 1)),
			fates: map[string]*fate{}, over: make(chan struct{}),
		}
		var wgr sync.WaitGroup
		for i := range chaosCallers {
			wgr.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wgr.Done()
				chs.callers(i, rand.New(rand.NewPCG(seed, uint64(i+2))))
			}()
		}
		for range rounds {
			first, second := chs.fault(), chs.fault()
			time.Sleep(1500 * time.Millisecond)
			first()
			second()
			time.Sleep(500 * time.Millisecond)
		}
		close(chs.over)
		wgr.Wait()
		chs.check(seed)
	})
})

// fault starts a random fault and gives what ends it.
func (chs *chaos) fault() func() {
	i := chs.rng.IntN(chaosNodes)
	nod := chs.nodes[i]
	plt := chs.PlatformProcess()
	switch chs.rng.IntN(7) {
	case 0:
		nod.Kill()
		return func() { chs.replace(i, nod) }
	case 1:
		nod.Freeze()
		return nod.Thaw
	case 2:
		_ = chs.Faults(plt, "/v1/faults", stand.Faults{Outage: true})
		return func() { _ = chs.Faults(plt, "/v1/faults", stand.Faults{}) }
	case 3:
		_ = chs.Faults(plt, "/v1/faults", stand.Faults{LoseReplies: 5, SlowMs: 50})
		return func() { _ = chs.Faults(plt, "/v1/faults", stand.Faults{}) }
	case 4:
		_ = chs.Faults(chs.booking, "/v1/faults", stand.Faults{LoseReplies: 2, Refuse: 3, WrongAttempt: 1})
		return func() { _ = chs.Faults(chs.booking, "/v1/faults", stand.Faults{}) }
	case 5:
		chs.engines[0].Freeze()
		return chs.engines[0].Thaw
	default:
		_ = chs.Faults(chs.encoder, "/v1/faults", stand.Faults{Cut: 5, LoseReplies: 5, Fail: 2})
		return func() { _ = chs.Faults(chs.encoder, "/v1/faults", stand.Faults{}) }
	}
}

// replace starts a new instance in the place of a killed one.
func (chs *chaos) replace(i int, old *Process) {
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	if chs.nodes[i] != old {
		return
	}
	nod, err := chs.Node(fmt.Sprintf("node%d-%d", i, chs.rng.IntN(1000)), "dc1", "keep_ms = 1000", "fresh_ms = 2000")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	chs.nodes[i] = nod
}

func (chs *chaos) node(rng *rand.Rand) *Process {
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	return chs.nodes[rng.IntN(chaosNodes)]
}

func (chs *chaos) callers(who int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-chs.over:
			return
		default:
		}
		chs.bookOnce(fmt.Sprintf("c%d-%d", who, n), rng)
		ans := chs.call(chs.node(rng), "planning", wire.Submit{Input: fmt.Sprintf("p%d-%d", who, n), MaxTokens: 2, DeadlineMs: 1500})
		if isDone(ans) {
			input := fmt.Sprintf("rerank(retrieve(encode(p%d-%d)))", who, n)
			gomega.Expect(ans.Output).To(gomega.Equal(stand.TokenAt(input, 0) + stand.TokenAt(input, 1)))
		}
	}
}

// bookOnce sends one booking, at different instances, until it is settled.
func (chs *chaos) bookOnce(key string, rng *rand.Rand) {
	fte := &fate{}
	for try := range maxRepeats {
		sub := book(key)
		sub.First = try == 0
		sub.DeadlineMs = 1500
		ans := chs.call(chs.node(rng), "booking", sub)
		fte.told = append(fte.told, ans.Outcome+"/"+ans.Reason)
		fte.final = ans.Outcome
		if isDone(ans) {
			gomega.Expect(ans.Output).To(gomega.Equal("confirm(possession " + key + ")"))
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	chs.fates[key] = fte
}

// check holds the stand-ins' records against what callers were told.
func (chs *chaos) check(seed uint64) {
	_ = chs.Faults(chs.booking, "/v1/faults", stand.Faults{})
	_ = chs.Faults(chs.PlatformProcess(), "/v1/faults", stand.Faults{})
	counts := map[string]int{}
	list, err := chs.Executions(chs.booking)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, exc := range list {
		counts[exc.RequestID]++
	}
	totals := map[string]int{}
	for key, fte := range chs.fates {
		ran := counts[workspace+"/booking/"+key]
		totals[fte.final]++
		gomega.Expect(ran).To(gomega.BeNumerically("<=", 1), "%s ran %d times, told %v", key, ran, fte.told)
		switch fte.final {
		case "done":
			gomega.Expect(ran).To(gomega.Equal(1), "%s told %v", key, fte.told)
		case "not_run", "failed":
			gomega.Expect(ran).To(gomega.Equal(0), "%s told %v", key, fte.told)
		}
	}
	for _, nod := range chs.nodes {
		gomega.Expect(Until(10*time.Second, func() bool { return chs.Ready(nod) })).To(gomega.BeTrue(), nod.Log())
		st, err := chs.Status(nod)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(st.Services).To(gomega.HaveLen(2))
	}
	text, _ := json.Marshal(totals)
	fmt.Printf("measured: chaos seed %d: %d bookings, last word %s, executions %d\n", seed, len(chs.fates), text, len(list))
	gomega.Expect(totals["done"]).To(gomega.BeNumerically(">", len(chs.fates)/3), "%v", totals)
}
