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
		var ran wire.Ran
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
