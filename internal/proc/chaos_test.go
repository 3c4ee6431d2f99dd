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
	chaosInstances = 3
	chaosCallers   = 4
	chaosRounds    = 8
	maxAttempts    = 4
)

// bookingResult has the outcomes that callers got for one key.
type bookingResult struct {
	outcomes []string
	last     string
}

// chaosRun is a run with two faults at a time.
type chaosRun struct {
	*cluster
	rng      *rand.Rand
	mtx      sync.Mutex
	bookings map[string]*bookingResult
	done     chan struct{}
}

var _ = ginkgo.Describe("two faults at once", func() {
	// Rounds of two simultaneous faults, drawn from a seed, at instances, endpoints
	// and the platform, while callers send bookings, retry them at other instances
	// and request plans. At the end the test doubles' records show whether
	// the guarantees held: no booking ran twice, none answered not_run or failed ran, one
	// answered done ran once, and all instances still have both documents.
	ginkgo.It("violate no guarantee", func() {
		seed := uint64(20261202)
		if text := os.Getenv("AMV_CHAOS_SEED"); text != "" {
			seed, _ = strconv.ParseUint(text, 10, 64)
		}
		rounds := chaosRounds
		if text := os.Getenv("AMV_CHAOS_ROUNDS"); text != "" {
			rounds, _ = strconv.Atoi(text)
		}
		chs := &chaosRun{
			cluster: newCluster(chaosInstances, "fresh_ms = 2000"), rng: rand.New(rand.NewPCG(seed, 1)),
			bookings: map[string]*bookingResult{}, done: make(chan struct{}),
		}
		var wgr sync.WaitGroup
		for i := range chaosCallers {
			wgr.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wgr.Done()
				chs.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i+2))))
			}()
		}
		for range rounds {
			endFirst, endSecond := chs.startFault(), chs.startFault()
			time.Sleep(1500 * time.Millisecond)
			endFirst()
			endSecond()
			time.Sleep(500 * time.Millisecond)
		}
		close(chs.done)
		wgr.Wait()
		chs.check(seed)
	})
})

// startFault starts a random fault and returns the function that ends it.
func (chs *chaosRun) startFault() func() {
	i := chs.rng.IntN(chaosInstances)
	ins := chs.instances[i]
	plt := chs.PlatformProcess()
	switch chs.rng.IntN(7) {
	case 0:
		ins.Kill()
		return func() { chs.replace(i, ins) }
	case 1:
		ins.Freeze()
		return ins.Thaw
	case 2:
		_ = chs.SetFaults(plt, "/v1/faults", stand.Faults{Outage: true})
		return func() { _ = chs.SetFaults(plt, "/v1/faults", stand.Faults{}) }
	case 3:
		_ = chs.SetFaults(plt, "/v1/faults", stand.Faults{LoseReplies: 5, SlowMs: 50})
		return func() { _ = chs.SetFaults(plt, "/v1/faults", stand.Faults{}) }
	case 4:
		_ = chs.SetFaults(chs.booking, "/v1/faults", stand.Faults{LoseReplies: 2, Refuse: 3, WrongAttempt: 1})
		return func() { _ = chs.SetFaults(chs.booking, "/v1/faults", stand.Faults{}) }
	case 5:
		chs.engines[0].Freeze()
		return chs.engines[0].Thaw
	default:
		_ = chs.SetFaults(chs.encoder, "/v1/faults", stand.Faults{Cut: 5, LoseReplies: 5, Fail: 2})
		return func() { _ = chs.SetFaults(chs.encoder, "/v1/faults", stand.Faults{}) }
	}
}

// replace starts a new instance in place of a killed one.
func (chs *chaosRun) replace(i int, old *Process) {
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	if chs.instances[i] != old {
		return
	}
	ins, err := chs.StartInstance(fmt.Sprintf("node%d-%d", i, chs.rng.IntN(1000)), "dc1", "keep_ms = 1000", "fresh_ms = 2000")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	chs.instances[i] = ins
}

func (chs *chaosRun) drawInstance(rng *rand.Rand) *Process {
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	return chs.instances[rng.IntN(chaosInstances)]
}

func (chs *chaosRun) runCaller(caller int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-chs.done:
			return
		default:
		}
		chs.bookWithRetries(fmt.Sprintf("c%d-%d", caller, n), rng)
		ans := chs.call(chs.drawInstance(rng), "planning", wire.Submit{Input: fmt.Sprintf("p%d-%d", caller, n), MaxTokens: 2, DeadlineMs: 1500})
		if isDone(ans) {
			input := fmt.Sprintf("rerank(retrieve(encode(p%d-%d)))", caller, n)
			gomega.Expect(ans.Output).To(gomega.Equal(stand.TokenAt(input, 0) + stand.TokenAt(input, 1)))
		}
	}
}

// bookWithRetries sends one booking to random instances until it is done, maxAttempts times at
// most.
func (chs *chaosRun) bookWithRetries(key string, rng *rand.Rand) {
	res := &bookingResult{}
	for try := range maxAttempts {
		sub := book(key)
		sub.First = try == 0
		sub.DeadlineMs = 1500
		ans := chs.call(chs.drawInstance(rng), "booking", sub)
		res.outcomes = append(res.outcomes, ans.Outcome+"/"+ans.Reason)
		res.last = ans.Outcome
		if isDone(ans) {
			gomega.Expect(ans.Output).To(gomega.Equal("confirm(possession " + key + ")"))
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	chs.mtx.Lock()
	defer chs.mtx.Unlock()
	chs.bookings[key] = res
}

// check compares the test doubles' records with the outcomes that callers got.
func (chs *chaosRun) check(seed uint64) {
	_ = chs.SetFaults(chs.booking, "/v1/faults", stand.Faults{})
	_ = chs.SetFaults(chs.PlatformProcess(), "/v1/faults", stand.Faults{})
	counts := map[string]int{}
	list, err := chs.Executions(chs.booking)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, exc := range list {
		counts[exc.RequestID]++
	}
	totals := map[string]int{}
	for key, res := range chs.bookings {
		ran := counts[workspace+"/booking/"+key]
		totals[res.last]++
		gomega.Expect(ran).To(gomega.BeNumerically("<=", 1), "%s ran %d times, outcomes %v", key, ran, res.outcomes)
		switch res.last {
		case "done":
			gomega.Expect(ran).To(gomega.Equal(1), "%s: outcomes %v", key, res.outcomes)
		case "not_run", "failed":
			gomega.Expect(ran).To(gomega.Equal(0), "%s: outcomes %v", key, res.outcomes)
		}
	}
	for _, ins := range chs.instances {
		gomega.Expect(WaitFor(10*time.Second, func() bool { return chs.Ready(ins) })).To(gomega.BeTrue(), ins.Log())
		st, err := chs.Status(ins)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(st.Services).To(gomega.HaveLen(2))
	}
	text, _ := json.Marshal(totals)
	fmt.Printf("measured: chaos seed %d: %d bookings, last outcomes %s, executions %d\n", seed, len(chs.bookings), text, len(list))
	gomega.Expect(totals["done"]).To(gomega.BeNumerically(">", len(chs.bookings)/3), "%v", totals)
}
