package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/zlog"
)

const (
	defaultInstances = 4
	defaultCallers   = 8
	// Runs with answers of varied length have variedCallersFactor times as many callers, since
	// most of these wait for long answers.
	variedCallersFactor = 3
	// defaultDuration is how long faults are injected in CI; runs by hand take minutes.
	defaultDuration = 8 * time.Second
	// recoveryTime is the time within which a deployment serves again once all faults have ended.
	recoveryTime = 15 * time.Second
	// maxLinesPerSecond bounds the log lines of one process under this load.
	maxLinesPerSecond = 2000
)

// envInt reads a positive number from the environment.
func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q is not a positive number", name, text)
	}
	return n
}

// runSpec determines a run: the seed, and the number of fault kinds to draw from. A seed is kept
// together with this number, since a kind that is added later would change all that the seed
// draws.
type runSpec struct {
	seed       uint64
	faultKinds int
	// tokenMaxViewAge is the instances' setting tokens_for_ms, zero for the usual one.
	tokenMaxViewAge time.Duration
}

// TestSoak runs each seed: the few of CI, which include those that once failed, or those that the
// environment asks for (docs/SOAK.md). It guards against faults, and planned shutdowns during
// answers of any length, that violate a guarantee to callers.
func TestSoak(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	program := buildDaemon(t)
	for _, spc := range runSpecs(t) {
		t.Run(fmt.Sprintf("seed-%d", spc.seed), func(t *testing.T) { runSeed(t, program, spc) })
	}
}

// runSpecs lists the runs to do.
func runSpecs(t *testing.T) []runSpec {
	kinds := len(faultKinds)
	if os.Getenv("AMV_SOAK_KINDS") != "" {
		kinds = envInt(t, "AMV_SOAK_KINDS", kinds)
	}
	if os.Getenv("AMV_SOAK_SEED") != "" {
		return []runSpec{{seed: uint64(envInt(t, "AMV_SOAK_SEED", 1)), faultKinds: kinds}}
	}
	if os.Getenv("AMV_SOAK_SEEDS") == "" {
		return readSeeds(t)
	}
	first := uint64(envInt(t, "AMV_SOAK_FROM", int(time.Now().Unix())))
	var list []runSpec
	for i := range envInt(t, "AMV_SOAK_SEEDS", 1) {
		list = append(list, runSpec{seed: first + uint64(i), faultKinds: kinds})
	}
	return list
}

// readSeeds reads the runs of CI. Each line has a seed, its number of fault kinds and what it
// showed.
func readSeeds(t *testing.T) []runSpec {
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var list []runSpec
	for scn := bufio.NewScanner(file); scn.Scan(); {
		if scn.Text() == "" || strings.HasPrefix(scn.Text(), "#") {
			continue
		}
		var spc runSpec
		if _, err := fmt.Sscanf(scn.Text(), "%d/%d ", &spc.seed, &spc.faultKinds); err != nil || spc.faultKinds > len(faultKinds) {
			t.Fatalf("testdata/seeds.txt: %q is not SEED/KINDS with at most %d kinds: %v", scn.Text(), len(faultKinds), err)
		}
		list = append(list, spc)
	}
	return list
}

func buildDaemon(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "amvnode")
	if out, err := exec.Command("go", "build", "-o", program, "amaranthvalve/internal/soak/daemon").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// runSeed runs one seed and reports the violations.
func runSeed(t *testing.T, program string, spc runSpec) {
	sr := newSoakRun(t, program, spc, envInt(t, "AMV_SOAK_INSTANCES", defaultInstances))
	if !sr.awaitServing() {
		sr.violation("start: some instances did not serve all kinds of requests")
		sr.report(t)
		return
	}
	duration := defaultDuration
	if os.Getenv("AMV_SOAK_SECONDS") != "" {
		duration = time.Duration(envInt(t, "AMV_SOAK_SECONDS", 1)) * time.Second
	}
	start := time.Now()
	sr.runTraffic(t, duration)
	for _, ins := range sr.insts {
		sr.checkProcess(ins, time.Since(start))
	}
	sr.checkAll()
	sr.report(t)
}

// runTraffic injects faults under the callers' load and then checks that the deployment recovers.
func (sr *soakRun) runTraffic(t *testing.T, duration time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var wgr sync.WaitGroup
	callers := envInt(t, "AMV_SOAK_CALLERS", defaultCallers)
	if sr.params.variedAnswers {
		t.Logf("answers of varied length, at least %v; stop_ms %d, keep_ms %d", sr.params.minAnswerTime, sr.params.shutdownTimeout.Milliseconds(), sr.params.entryTTL.Milliseconds())
		callers *= variedCallersFactor
	}
	for i := range callers {
		clr := sr.newCaller(i)
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			if i == 0 {
				clr.runVersionProbe(ctx)
				return
			}
			if sr.params.variedAnswers && i%2 == 0 {
				clr.runSticky(ctx)
				return
			}
			clr.run(ctx)
		}()
	}
	if sr.params.variedAnswers {
		// Shutdowns are checked only from settleTime after the start of an instance on.
		time.Sleep(settleTime)
	}
	faults, stop := context.WithTimeout(ctx, duration)
	sr.inject(faults, t.Logf)
	stop()
	sr.heal()
	if !sr.awaitServing() {
		sr.violation("recovery: some instances did not serve all kinds of requests within %v after all faults had ended", recoveryTime)
	}
	cancel()
	wgr.Wait()
}

// awaitServing waits until every instance serves every kind of request, and reports whether they
// do within recoveryTime.
func (sr *soakRun) awaitServing() bool {
	clr := sr.newCaller(1000 + sr.drawInt(1<<20))
	until := time.Now().Add(recoveryTime)
	for time.Now().Before(until) {
		serving := true
		for _, ins := range sr.insts {
			for _, knd := range requestKinds {
				serving = serving && clr.sendQuick(ins, knd, permanentKey, 0).status == http.StatusOK
			}
		}
		if serving {
			return true
		}
		time.Sleep(minGap)
	}
	return false
}

// checkProcess checks that processes end only when they are signalled, and that their log lines
// are JSON and not too many.
func (sr *soakRun) checkProcess(ins *instance, took time.Duration) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	for _, end := range ins.unexpectedEnds {
		sr.violation("%s", end)
	}
	if ins.earlyHangups > 0 {
		sr.notes = append(sr.notes, fmt.Sprintf("%s: a reload ended %d processes before their first log line", ins.name, ins.earlyHangups))
	}
	ins.log.mtx.Lock()
	defer ins.log.mtx.Unlock()
	for _, line := range ins.log.invalid {
		sr.violation("log: %s wrote a line that is not JSON: %q", ins.name, line)
	}
	if limit := maxLinesPerSecond * int(took.Seconds()+1); ins.log.lineCount > limit {
		sr.violation("log: %s wrote %d lines in %v, %d allowed", ins.name, ins.log.lineCount, took, limit)
	}
}

// shutdownOutcomes summarizes how requests ended that were sent to undisturbed instances after
// the signal of a planned shutdown.
func (sr *soakRun) shutdownOutcomes() string {
	ends := map[string]int{}
	for _, att := range sr.order {
		shutdownAt := att.ins.shutdownTime(att.incarnation)
		if !att.undisturbed || shutdownAt.IsZero() || att.sent.Sub(shutdownAt) <= signalSlack {
			continue
		}
		end := strconv.Itoa(att.status)
		switch {
		case att.err != nil && att.ended.Sub(att.sent) >= att.deadline:
			end = "late"
		case att.err != nil && att.runs == 0:
			end = "not run"
		case att.err != nil:
			end = "cut"
		}
		ends[end]++
	}
	return fmt.Sprintf("requests sent after the signal of a planned shutdown, by outcome: %v", ends)
}

// refusals counts the refusals by reason.
func (sr *soakRun) refusals() map[string]int {
	reasons := map[string]int{}
	for _, att := range sr.order {
		var body struct{ Reason string }
		if promisesNotRun(att.status) && json.Unmarshal([]byte(att.answer), &body) == nil {
			reasons[body.Reason]++
		}
	}
	return reasons
}

// report logs the requests and their outcomes and fails the test for each violation. The logs of
// a run with violations are copied to AMV_SOAK_LOGS.
func (sr *soakRun) report(t *testing.T) {
	ends := map[string]int{}
	for _, att := range sr.order {
		end := strconv.Itoa(att.status)
		if att.err != nil {
			end = "cut"
		}
		ends[end]++
	}
	t.Logf("seed %d: %d requests, by outcome: %v", sr.seed, len(sr.order), ends)
	t.Logf("seed %d: refusals by reason: %v", sr.seed, sr.refusals())
	t.Logf("seed %d: %s", sr.seed, sr.shutdownOutcomes())
	for _, line := range sr.notes {
		t.Logf("seed %d: %s", sr.seed, line)
	}
	if len(sr.violations) == 0 {
		return
	}
	for _, line := range sr.violations {
		t.Errorf("seed %d: %s", sr.seed, line)
	}
	logDir := os.Getenv("AMV_SOAK_LOGS")
	if logDir == "" {
		return
	}
	for _, ins := range sr.insts {
		text, err := os.ReadFile(ins.log.file.Name())
		if err == nil {
			_ = os.MkdirAll(logDir, 0o755)
			_ = os.WriteFile(filepath.Join(logDir, fmt.Sprintf("%d-%s.log", sr.seed, ins.name)), text, 0o600)
		}
	}
}
