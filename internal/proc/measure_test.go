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

// measureOverhead compares requests of four stages through an instance with direct calls of the
// same stages, alternating, and prints the medians.
func measureOverhead(cls *cluster) {
	var through, direct []time.Duration
	stages := map[string][]int64{}
	for range overheadRuns {
		start := time.Now()
		ans := cls.call(cls.instances[0], "planning", wire.Submit{Input: "draft", MaxTokens: 8})
		through = append(through, time.Since(start))
		gomega.Expect(isDone(ans)).To(gomega.BeTrue(), ans.Detail)
		for _, st := range ans.Stages {
			stages[st.Name] = append(stages[st.Name], int64(st.Ms))
		}
		direct = append(direct, cls.callDirectly())
	}
	slices.Sort(through)
	slices.Sort(direct)
	mid := overheadRuns / 2
	lines := fmt.Sprintf("through an instance: median %v, p95 %v; direct: median %v, p95 %v; median overhead %v\n",
		through[mid], through[overheadRuns*95/100], direct[mid], direct[overheadRuns*95/100], through[mid]-direct[mid])
	for name, all := range stages {
		slices.Sort(all)
		lines += fmt.Sprintf("stage %s: median %d ms\n", name, all[mid])
	}
	lines += cls.measureTokens()
	lines += fmt.Sprintf("resident memory: %d kB and %d kB\n", cls.instances[0].RSS(), cls.instances[1].RSS())
	_, _ = fmt.Fprint(ginkgo.GinkgoWriter, lines)
	fmt.Print(lines)
}

// callDirectly calls the four stages without an instance and returns the time this took.
func (cls *cluster) callDirectly() time.Duration {
	text := "draft"
	st, err := cls.Status(cls.instances[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	addrs := map[string]string{}
	for _, ept := range st.Endpoints {
		addrs[ept.Pool] = ept.Addr
	}
	start := time.Now()
	for _, stage := range [][2]string{{"encode", "encoders"}, {"retrieve", "retrievers"}, {"rerank", "rerankers"}} {
		var ran wire.RunResult
		cls.postJSON(addrs[stage[1]], "/v1/run", wire.Run{Attempt: ident.NewID(), Stage: stage[0], Input: text}, &ran)
		text = ran.Output
	}
	cls.postJSON(addrs["planners"], "/v1/generate", wire.Run{Attempt: ident.NewID(), Input: text, MaxTokens: 8}, nil)
	return time.Since(start)
}

func (cls *cluster) postJSON(addr, path string, body, val any) {
	text, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	res, err := cls.client.Post("http://"+addr+path, "application/json", bytes.NewReader(text))
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
	idleDuration   = 10 * time.Second
	ticksPerSecond = 100
)

// measureIdle prints the processor time and memory of idle instances.
func measureIdle(cls *cluster) {
	before := make([]int, len(cls.instances))
	for i, ins := range cls.instances {
		before[i] = ins.cpuTicks()
	}
	time.Sleep(idleDuration)
	cpu, rss := 0.0, 0
	for i, ins := range cls.instances {
		cpu += float64(ins.cpuTicks()-before[i]) / ticksPerSecond / idleDuration.Seconds()
		rss += ins.RSS()
	}
	n := len(cls.instances)
	fmt.Printf("measured: %d idle instances: %.2f%% of a core and %d kB resident each\n", n, 100*cpu/float64(n), rss/n)
}

// cpuTicks returns the process's processor time in hundredths of a second.
func (prc *Process) cpuTicks() int {
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
	tokenStreams    = 16
	tokensPerStream = 1200
)

// measureTokens reports an instance's processor time per streamed token.
func (cls *cluster) measureTokens() string {
	ins := cls.instances[0]
	before := ins.cpuTicks()
	var wgr sync.WaitGroup
	for i := range tokenStreams {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			cli := caller.New([]string{ins.Addr()}, workspace, "", "")
			sub := wire.Submit{Input: fmt.Sprint(i), Stream: true, MaxTokens: tokensPerStream}
			cli.CallAt(context.Background(), ins.Addr(), "planning", sub, func(wire.Token) {})
		}()
	}
	wgr.Wait()
	spent := float64(ins.cpuTicks()-before) / ticksPerSecond
	return fmt.Sprintf("%d streams of %d tokens: %.1f us of processor time per token\n", tokenStreams, tokensPerStream, 1e6*spent/tokenStreams/tokensPerStream)
}

const (
	loadDuration  = 20 * time.Second
	loadPerSecond = 150
	loadTokens    = 32
	bookingOneIn  = 4
)

// newLoadCluster starts a deployment of the size of Corella: nine instances, twelve engines and
// five endpoints in each other pool.
func newLoadCluster() *cluster {
	dpl, err := NewDeployment(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(dpl.Close)
	cls := &cluster{Deployment: dpl}
	for i := range 5 {
		cls.endpoint("pool", fmt.Sprintf("encoder-%d", i), "encoders", "--parallel", "8")
		cls.endpoint("pool", fmt.Sprintf("retriever-%d", i), "retrievers", "--parallel", "8")
		cls.endpoint("pool", fmt.Sprintf("reranker-%d", i), "rerankers", "--parallel", "8")
		cls.bookings = append(cls.bookings, cls.endpoint("service", fmt.Sprintf("booking-%d", i), "booking", "--parallel", "8"))
	}
	for i := range 12 {
		cls.engines = append(cls.engines, cls.endpoint("engine", fmt.Sprintf("planner-%d", i), "planners", "--parallel", "16"))
	}
	for i := range 9 {
		cls.addInstance(fmt.Sprintf("node%d", i), fmt.Sprintf("dc%d", i%4))
	}
	for _, service := range []string{"planning", "booking"} {
		path := writeDoc(cls.dir, service, "requests_per_second = 50\nin_flight = 32", "requests_per_second = 5000\nin_flight = 512")
		_, errs, status := cls.RunAmv("doc", "publish", path, "--node", cls.instances[0].OpsAddr())
		gomega.Expect(status).To(gomega.Equal(0), errs)
	}
	for _, ins := range cls.instances {
		gomega.Expect(WaitFor(15*time.Second, func() bool {
			st, err := cls.Status(ins)
			return err == nil && len(st.Members) == 9 && len(st.Endpoints) == 32
		})).To(gomega.BeTrue())
	}
	return cls
}

// measureLoad sends requests at a steady rate, and prints their outcomes and latencies and the
// processor time and memory of the instances.
func measureLoad(cls *cluster) {
	var mtx sync.Mutex
	var wgr sync.WaitGroup
	outcomes := map[string]int{}
	durations := map[string][]time.Duration{}
	firstTokens := []time.Duration{}
	before := make([]int, len(cls.instances))
	for i, ins := range cls.instances {
		before[i] = ins.cpuTicks()
	}
	tick := time.NewTicker(time.Second / loadPerSecond)
	defer tick.Stop()
	start := time.Now()
	for n := 0; time.Since(start) < loadDuration; n++ {
		<-tick.C
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			cli := caller.New([]string{cls.instances[n%9].Addr()}, workspace, "", fmt.Sprintf("dc%d", n%4))
			sent := time.Now()
			service, sub := "planning", wire.Submit{Input: fmt.Sprintf("plan %d", n), Stream: true, MaxTokens: loadTokens}
			if n%bookingOneIn == 0 {
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
			durations[service] = append(durations[service], time.Since(sent))
			if firstAt > 0 {
				firstTokens = append(firstTokens, firstAt)
			}
		}()
	}
	wgr.Wait()
	spent := time.Since(start).Seconds()
	cpu, rss := 0.0, 0
	for i, ins := range cls.instances {
		cpu += float64(ins.cpuTicks()-before[i]) / ticksPerSecond / spent
		rss = max(rss, ins.RSS())
	}
	fmt.Printf("measured: %d requests/s for %v at 9 instances: %v\n", loadPerSecond, loadDuration, outcomes)
	for service, all := range durations {
		slices.Sort(all)
		fmt.Printf("measured: %s median %v, p95 %v\n", service, all[len(all)/2], all[len(all)*95/100])
	}
	slices.Sort(firstTokens)
	fmt.Printf("measured: first token median %v, p95 %v; %.1f%% of a core each, largest %d kB resident\n",
		firstTokens[len(firstTokens)/2], firstTokens[len(firstTokens)*95/100], 100*cpu/9, rss)
	counts := map[string]int{}
	for _, prc := range cls.bookings {
		list, err := cls.Executions(prc)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, exc := range list {
			counts[exc.RequestID]++
			gomega.Expect(counts[exc.RequestID]).To(gomega.Equal(1))
		}
	}
}
