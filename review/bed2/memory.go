package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and traffic of the case "memory".
const (
	memoryMb = 284
	// bodyBytes is what a consumer sends: the bound of the manifest.
	bodyBytes    = 4 << 20
	streamEvents = 81
	streamGap    = 60 * time.Millisecond
	// streamsPerZone is the number of requests a second of each of the four zones.
	streamsPerZone = 5.0
	streamBurstX   = 2.6
	streamBurstFor = 6900 * time.Millisecond
	// The bursts begin at these times, as on a standard day.
	memoryTraffic = 62 * time.Second
	// endsOfFault on machinesOfFault machines are a fault.
	endsOfFault     = 3
	machinesOfFault = 2
)

func streamBursts() []time.Duration {
	return []time.Duration{8 * time.Second, 26 * time.Second, 44 * time.Second}
}

// anonymousKb returns the anonymous memory of a process in KiB: what its heap and stacks take, without the pages of files.
func anonymousKb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb := 0
			_, _ = fmt.Sscan(rest, &kb)
			return kb
		}
	}
	return 0
}

// watchMemory kills a machine's process when it exceeds the memory of a machine, as the platform does, and starts it again
// after a second. It returns how often, and the most memory seen in MB.
func watchMemory(ctx context.Context, rec *record, began time.Time, mch *machine) (ends, peak int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		mch.mtx.Lock()
		pid := mch.cmd.Process.Pid
		mch.mtx.Unlock()
		mb := anonymousKb(pid) / 1024
		if peak = max(peak, mb); mb <= memoryMb {
			continue
		}
		ends++
		rec.printf("%6.3f s  %s uses %d MB and is killed, for the %dth time", time.Since(began).Seconds(), mch.name, mb, ends)
		mch.signal(syscall.SIGKILL)
		mch.kill()
		time.Sleep(time.Second)
		if ctx.Err() == nil && mch.start() != nil {
			return ends, peak
		}
	}
	return ends, peak
}

// memoryCase plays the case "memory": many users come at once, whose requests are as large as the manifest allows.
func memoryCase(rec *record, troubled bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	dep, err := newDeployment(zones)
	if err != nil {
		return false, err
	}
	defer dep.close()
	for i := range 12 {
		eng, err := newModelEngine(fmt.Sprintf("i-%d", i+1), 64, streamEvents, streamGap)
		if err != nil {
			return false, err
		}
		dep.store.put("keyed.servers", eng.id, eng.entry("planner-llm", zones[i%4]))
	}
	dep.store.put("keyed.op", "config", streamManifest(map[string]any{"pathPrefix": "/chat/", "timeoutMs": 20000, "maxAttempts": 1, "resumable": false}))
	if err := dep.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), memoryTraffic)
	defer cancel()
	rate := func(since time.Duration) float64 {
		inBurst := slices.ContainsFunc(streamBursts(), func(at time.Duration) bool { return since >= at && since < at+streamBurstFor })
		if troubled && inBurst {
			return streamsPerZone * streamBurstX
		}
		return streamsPerZone
	}
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	ends, peaks := make([]int, len(zones)), make([]int, len(zones))
	var watches, grp sync.WaitGroup
	for i, mch := range dep.machines {
		watches.Go(func() { ends[i], peaks[i] = watchMemory(ctx, rec, began, mch) })
	}
	var groups []*consumers
	for i, zone := range zones {
		cns := &consumers{zone: zone, host: "desk.example", path: "/chat/1", prefix: string(rune('a'+i)) + "-", failed: map[string]time.Time{}, directories: dep.directories(zone, 0)}
		groups = append(groups, cns)
		grp.Go(func() {
			var sent sync.WaitGroup
			for ctx.Err() == nil {
				sent.Go(func() {
					att, _ := cns.sendStream(body, streamEvents, 20*time.Second)
					rec.detail("%6.3f s  %s sent to %s: %d %s after %d ms", att.at.Sub(began).Seconds(), att.id, att.front, att.status, att.err, time.Since(att.at).Milliseconds())
				})
				time.Sleep(time.Duration(float64(time.Second) / rate(time.Since(began))))
			}
			sent.Wait()
		})
	}
	watches.Wait()
	grp.Wait()
	bad := 0
	for i, mch := range dep.machines {
		rec.printf("%s: %d MB at most, ended %d times", mch.name, peaks[i], ends[i])
		if ends[i] >= endsOfFault {
			bad++
		}
	}
	all, whole, cutOff := 0, 0, 0
	for _, cns := range groups {
		for _, att := range cns.attempts {
			all++
			switch {
			case att.status == http.StatusOK && att.err == "":
				whole++
			case att.status == http.StatusOK:
				cutOff++
			}
		}
	}
	rec.printf("%d requests sent, %d answered whole, %d cut off midway", all, whole, cutOff)
	return bad >= machinesOfFault, nil
}
