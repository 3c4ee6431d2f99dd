package soak

import (
	"bufio"
	"context"
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
	usualInstances = 4
	usualCallers   = 8
	// moreCallers times as many ask where most of them wait for long answers.
	moreCallers = 3
	// usualSpan is how long troubles are drawn in CI; some minutes by hand.
	usualSpan = 8 * time.Second
	// backWithin is the time in which a deployment that is well again serves.
	backWithin = 15 * time.Second
	// linesASecond bounds what one process writes under this load.
	linesASecond = 2000
)

// number reads a number from the environment.
func number(t *testing.T, name string, usual int) int {
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q is not a number above 0", name, text)
	}
	return n
}

// play is a run to be played: what is drawn, and from how many kinds of trouble. A kind
// that came later would change all that an older seed draws.
type play struct {
	seed  uint64
	kinds int
}

// TestSoak plays one run for each seed: the few of CI, those that ever failed, or those
// that the environment asks for (docs/SOAK.md). It guards against troubles, and planned
// stops under answers of any length, that break a promise to callers.
func TestSoak(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	program := build(t)
	for _, ply := range plays(t) {
		t.Run(fmt.Sprintf("seed-%d", ply.seed), func(t *testing.T) { soak(t, program, ply) })
	}
}

// plays lists the runs to play.
func plays(t *testing.T) []play {
	kinds := len(troubles)
	if os.Getenv("AMV_SOAK_KINDS") != "" {
		kinds = number(t, "AMV_SOAK_KINDS", kinds)
	}
	if os.Getenv("AMV_SOAK_SEED") != "" {
		return []play{{seed: uint64(number(t, "AMV_SOAK_SEED", 1)), kinds: kinds}}
	}
	if os.Getenv("AMV_SOAK_SEEDS") == "" {
		return kept(t)
	}
	first := uint64(number(t, "AMV_SOAK_FROM", int(time.Now().Unix())))
	var list []play
	for i := range number(t, "AMV_SOAK_SEEDS", 1) {
		list = append(list, play{seed: first + uint64(i), kinds: kinds})
	}
	return list
}

// kept reads the runs that CI plays: a seed and its kinds a line, and what it showed.
func kept(t *testing.T) []play {
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var list []play
	for scn := bufio.NewScanner(file); scn.Scan(); {
		if scn.Text() == "" || strings.HasPrefix(scn.Text(), "#") {
			continue
		}
		var ply play
		if _, err := fmt.Sscanf(scn.Text(), "%d/%d ", &ply.seed, &ply.kinds); err != nil || ply.kinds > len(troubles) {
			t.Fatalf("testdata/seeds.txt: %q: %v", scn.Text(), err)
		}
		list = append(list, ply)
	}
	return list
}

func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "amvnode")
	if out, err := exec.Command("go", "build", "-o", program, "amaranthvalve/cmd/amvnode").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// soak plays one seed and tells what it broke.
func soak(t *testing.T, program string, ply play) {
	wld := newWorld(t, program, ply, number(t, "AMV_SOAK_INSTANCES", usualInstances))
	if !wld.serves() {
		wld.breaks("not served at the start")
		wld.report(t)
		return
	}
	span := usualSpan
	if os.Getenv("AMV_SOAK_SECONDS") != "" {
		span = time.Duration(number(t, "AMV_SOAK_SECONDS", 1)) * time.Second
	}
	began := time.Now()
	wld.traffic(t, span)
	for _, ins := range wld.insts {
		wld.judgeProcess(ins, time.Since(began))
	}
	wld.judgeAll()
	wld.report(t)
}

// traffic plays troubles under the callers' load, then looks whether all is well again.
func (wld *world) traffic(t *testing.T, span time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var wgr sync.WaitGroup
	callers := number(t, "AMV_SOAK_CALLERS", usualCallers)
	if wld.trm.varied {
		t.Logf("answers of varied length, %v at least; stop_ms %d, keep_ms %d", wld.trm.least, wld.trm.stop.Milliseconds(), wld.trm.keep.Milliseconds())
		callers *= moreCallers
	}
	for i := range callers {
		clr := wld.newCaller(i)
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			if i == 0 {
				clr.probe(ctx)
				return
			}
			if wld.trm.varied && i%2 == 0 {
				clr.stay(ctx)
				return
			}
			clr.run(ctx)
		}()
	}
	if wld.trm.varied {
		// Instances are held to their stops only from then on.
		time.Sleep(settleFor)
	}
	faults, stop := context.WithTimeout(ctx, span)
	wld.play(faults, t.Logf)
	stop()
	wld.heal()
	if !wld.serves() {
		wld.breaks("recovery: not served %v after everything was well again", backWithin)
	}
	cancel()
	wgr.Wait()
}

// serves waits until every instance serves every kind of request.
func (wld *world) serves() bool {
	clr := wld.newCaller(1000 + wld.draw(1<<20))
	until := time.Now().Add(backWithin)
	for time.Now().Before(until) {
		well := true
		for _, ins := range wld.insts {
			for _, knd := range kinds {
				well = well && clr.sendTo(ins, knd, mainKey, 0).status == http.StatusOK
			}
		}
		if well {
			return true
		}
		time.Sleep(leastGap)
	}
	return false
}

// judgeProcess: processes end when they are told to, and write lines that can be read,
// not too many.
func (wld *world) judgeProcess(ins *instance, took time.Duration) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	for _, what := range ins.byItself {
		wld.breaks("%s", what)
	}
	if ins.unheard > 0 {
		wld.notes = append(wld.notes, fmt.Sprintf("%s: %d processes ended by a reload that was asked for before their first line", ins.name, ins.unheard))
	}
	ins.log.mtx.Lock()
	defer ins.log.mtx.Unlock()
	for _, line := range ins.log.bad {
		wld.breaks("log: %s wrote %q", ins.name, line)
	}
	if most := linesASecond * int(took.Seconds()+1); ins.log.all > most {
		wld.breaks("log: %s wrote %d lines in %v", ins.name, ins.log.all, took)
	}
}

// afterStops tells how many requests were sent to instances that had been asked to stop,
// while all around them was well, and how they ended.
func (wld *world) afterStops() string {
	ends := map[string]int{}
	for _, att := range wld.order {
		asked := att.ins.askedAt(att.life)
		if !att.quiet || asked.IsZero() || att.sent.Sub(asked) <= heardFor {
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
	return fmt.Sprintf("sent after a planned stop's begin, ended %v", ends)
}

// report tells what was asked, how it ended and what was broken; the logs of a run that
// broke something are kept.
func (wld *world) report(t *testing.T) {
	ends := map[string]int{}
	for _, att := range wld.order {
		end := strconv.Itoa(att.status)
		if att.err != nil {
			end = "cut"
		}
		ends[end]++
	}
	t.Logf("seed %d: %d requests, ended %v", wld.seed, len(wld.order), ends)
	t.Logf("seed %d: %s", wld.seed, wld.afterStops())
	for _, what := range wld.notes {
		t.Logf("seed %d: %s", wld.seed, what)
	}
	if len(wld.broken) == 0 {
		return
	}
	for _, what := range wld.broken {
		t.Errorf("seed %d: %s", wld.seed, what)
	}
	keep := os.Getenv("AMV_SOAK_LOGS")
	if keep == "" {
		return
	}
	for _, ins := range wld.insts {
		text, err := os.ReadFile(ins.log.file.Name())
		if err == nil {
			_ = os.MkdirAll(keep, 0o755)
			_ = os.WriteFile(filepath.Join(keep, fmt.Sprintf("%d-%s.log", wld.seed, ins.name)), text, 0o600)
		}
	}
}
