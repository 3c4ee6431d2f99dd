package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/ident"
)

const overheadRuns = 200

// measureOverhead compares four stages through an instance with the same calls
// made directly, alternating, and prints medians.
func measureOverhead(wld *world) {
	var through, direct []time.Duration
	stages := map[string][]int64{}
	for range overheadRuns {
		began := time.Now()
		ans := wld.call(wld.nodes[0], "planning", wire.Submit{Input: "draft", MaxTokens: 8})
		through = append(through, time.Since(began))
		gomega.Expect(isDone(ans)).To(gomega.BeTrue(), ans.Detail)
		for _, st := range ans.Stages {
			stages[st.Name] = append(stages[st.Name], int64(st.Ms))
		}
		direct = append(direct, wld.directly())
	}
	slices.Sort(through)
	slices.Sort(direct)
	mid := overheadRuns / 2
	lines := fmt.Sprintf("through an instance: median %v, p95 %v; directly: median %v, p95 %v; overhead at the median %v\n",
		through[mid], through[overheadRuns*95/100], direct[mid], direct[overheadRuns*95/100], through[mid]-direct[mid])
	for name, all := range stages {
		slices.Sort(all)
		lines += fmt.Sprintf("stage %s: median %d ms\n", name, all[mid])
	}
	lines += wld.measureTokens()
	lines += fmt.Sprintf("resident memory: %d kB and %d kB\n", wld.nodes[0].RSS(), wld.nodes[1].RSS())
	_, _ = fmt.Fprint(ginkgo.GinkgoWriter, lines)
	fmt.Print(lines)
}

// directly calls the four stages without an instance.
func (wld *world) directly() time.Duration {
	text := "draft"
	st, err := wld.Status(wld.nodes[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	addrs := map[string]string{}
	for _, ept := range st.Endpoints {
		addrs[ept.Pool] = ept.Addr
	}
	began := time.Now()
	for _, stage := range [][2]string{{"encode", "encoders"}, {"retrieve", "retrievers"}, {"rerank", "rerankers"}} {
		var ran wire.RunResult
		wld.post(addrs[stage[1]], "/v1/run", wire.Run{Attempt: ident.NewID(), Stage: stage[0], Input: text}, &ran)
		text = ran.Output
	}
	wld.post(addrs["planners"], "/v1/generate", wire.Run{Attempt: ident.NewID(), Input: text, MaxTokens: 8}, nil)
	return time.Since(began)
}

func (wld *world) post(addr, path string, body, val any) {
	text, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	res, err := wld.client.Post("http://"+addr+path, "application/json", bytes.NewReader(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(res.StatusCode).To(gomega.Equal(http.StatusOK))
	defer func() { _ = res.Body.Close() }()
	if val != nil {
		gomega.Expect(json.NewDecoder(res.Body).Decode(val)).To(gomega.Succeed())
		return
	}
	var buf bytes.Buffer
	_, err = buf.ReadFrom(res.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

const (
	idleFor     = 10 * time.Second
	ticksPerSec = 100
)

// measureIdle prints the processor time and memory of idle instances.
func measureIdle(wld *world) {
	before := make([]int, len(wld.nodes))
	for i, nod := range wld.nodes {
		before[i] = nod.ticks()
	}
	time.Sleep(idleFor)
	cpu, rss := 0.0, 0
	for i, nod := range wld.nodes {
		cpu += float64(nod.ticks()-before[i]) / ticksPerSec / idleFor.Seconds()
		rss += nod.RSS()
	}
	n := len(wld.nodes)
	fmt.Printf("measured: %d idle instances: %.2f%% of a core and %d kB resident each\n", n, 100*cpu/float64(n), rss/n)
}

// ticks gives the process's processor time in hundredths of a second.
func (prc *Process) ticks() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", prc.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

const (
	tokenStreams = 16
	tokensEach   = 1200
)

// measureTokens gives an instance's processor time a streamed token.
func (wld *world) measureTokens() string {
	nod := wld.nodes[0]
	before := nod.ticks()
	var wgr sync.WaitGroup
	for i := range tokenStreams {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			cli := caller.New([]string{nod.Addr()}, workspace, "", "")
			sub := wire.Submit{Input: fmt.Sprint(i), Stream: true, MaxTokens: tokensEach}
			cli.CallAt(context.Background(), nod.Addr(), "planning", sub, func(wire.Token) {})
		}()
	}
	wgr.Wait()
	spent := float64(nod.ticks()-before) / ticksPerSec
	return fmt.Sprintf("%d streams of %d tokens: %.1f us of processor time a token\n", tokenStreams, tokensEach, 1e6*spent/tokenStreams/tokensEach)
}

const (
	loadFor     = 20 * time.Second
	loadPerSec  = 150
	loadTokens  = 32
	bookingPart = 4
)

// loadWorld is Corella at today's size: nine instances, twelve engines, four or
// five endpoints in each other pool.
func loadWorld() *world {
	bch, err := NewBench(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(bch.Close)
	wld := &world{Bench: bch}
	for i := range 5 {
		wld.endpoint("pool", fmt.Sprintf("encoder-%d", i), "encoders", "--parallel", "8")
		wld.endpoint("pool", fmt.Sprintf("retriever-%d", i), "retrievers", "--parallel", "8")
		wld.endpoint("pool", fmt.Sprintf("reranker-%d", i), "rerankers", "--parallel", "8")
		wld.bookings = append(wld.bookings, wld.endpoint("service", fmt.Sprintf("booking-%d", i), "booking", "--parallel", "8"))
	}
	for i := range 12 {
		wld.engines = append(wld.engines, wld.endpoint("engine", fmt.Sprintf("planner-%d", i), "planners", "--parallel", "16"))
	}
	for i := range 9 {
		wld.addNode(fmt.Sprintf("node%d", i), fmt.Sprintf("dc%d", i%4))
	}
	for _, service := range []string{"planning", "booking"} {
		path := writeDoc(wld.dir, service, "requests_per_second = 50\nin_flight = 32", "requests_per_second = 5000\nin_flight = 512")
		_, errs, status := wld.Amv("doc", "publish", path, "--node", wld.nodes[0].Ops())
		gomega.Expect(status).To(gomega.Equal(0), errs)
	}
	for _, nod := range wld.nodes {
		gomega.Expect(Until(15*time.Second, func() bool {
			st, err := wld.Status(nod)
			return err == nil && len(st.Members) == 9 && len(st.Endpoints) == 32
		})).To(gomega.BeTrue())
	}
	return wld
}

// measureLoad sends requests at a steady rate for a while and prints what came
// of them, and what each instance spent.
func measureLoad(wld *world) {
	var mtx sync.Mutex
	var wgr sync.WaitGroup
	outcomes := map[string]int{}
	took := map[string][]time.Duration{}
	first := []time.Duration{}
	before := make([]int, len(wld.nodes))
	for i, nod := range wld.nodes {
		before[i] = nod.ticks()
	}
	tkr := time.NewTicker(time.Second / loadPerSec)
	defer tkr.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < loadFor; n++ {
		<-tkr.C
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			cli := caller.New([]string{wld.nodes[n%9].Addr()}, workspace, "", fmt.Sprintf("dc%d", n%4))
			sent := time.Now()
			service, sub := "planning", wire.Submit{Input: fmt.Sprintf("plan %d", n), Stream: true, MaxTokens: loadTokens}
			if n%bookingPart == 0 {
				service, sub = "booking", book(fmt.Sprintf("load-%d", n))
				sub.First = true
			}
			var firstAt time.Duration
			ans := cli.Call(context.Background(), service, sub, func(tok wire.Token) {
				if tok.Index == 0 {
					firstAt = time.Since(sent)
				}
			})
			mtx.Lock()
			defer mtx.Unlock()
			outcomes[service+" "+ans.Outcome+"/"+ans.Reason]++
			took[service] = append(took[service], time.Since(sent))
			if firstAt > 0 {
				first = append(first, firstAt)
			}
		}()
	}
	wgr.Wait()
	spent := time.Since(began).Seconds()
	cpu, rss := 0.0, 0
	for i, nod := range wld.nodes {
		cpu += float64(nod.ticks()-before[i]) / ticksPerSec / spent
		rss = max(rss, nod.RSS())
	}
	fmt.Printf("measured: %d requests a second for %v at 9 instances: %v\n", loadPerSec, loadFor, outcomes)
	for service, all := range took {
		slices.Sort(all)
		fmt.Printf("measured: %s median %v, p95 %v\n", service, all[len(all)/2], all[len(all)*95/100])
	}
	slices.Sort(first)
	fmt.Printf("measured: first token median %v, p95 %v; %.1f%% of a core each, largest %d kB resident\n",
		first[len(first)/2], first[len(first)*95/100], 100*cpu/9, rss)
	counts := map[string]int{}
	for _, prc := range wld.bookings {
		list, err := wld.Executions(prc)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, exc := range list {
			counts[exc.RequestID]++
			gomega.Expect(counts[exc.RequestID]).To(gomega.Equal(1))
		}
	}
}
