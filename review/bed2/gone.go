package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case "gone".
const (
	goneRequests = 25
	gonePause    = 400 * time.Millisecond
	// leaveShare of the consumers leave within leaveWithin.
	leaveShare  = 0.3
	leaveFrom   = time.Second
	leaveWithin = 1500 * time.Millisecond
	// goneAfter is how long after a consumer has left its engine may still be at work, and goneShare the share of the
	// requests for which it may be longer.
	goneAfter = 500 * time.Millisecond
	goneShare = 0.25
)

// goneCase plays the case "gone": consumers leave before their deadline while engines that answer read on later.
func goneCase(rec *record, troubled, late bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	dep, err := newDeployment(zones)
	if err != nil {
		return false, err
	}
	defer dep.close()
	var engines []*modelEngine
	for i := range 12 {
		eng, err := newModelEngine(fmt.Sprintf("i-%d", i+1), 64, earlyEvents, earlyGap)
		if err != nil {
			return false, err
		}
		eng.late = troubled && late
		engines = append(engines, eng)
		dep.store.put("keyed.servers", eng.id, eng.entry("planner-llm", zones[i%4]))
	}
	dep.store.put("keyed.op", "config", streamManifest(map[string]any{"pathPrefix": "/chat/", "timeoutMs": 20000, "maxAttempts": 1, "resumable": false}))
	if err := dep.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	var grp sync.WaitGroup
	var mtx sync.Mutex
	left := map[string]time.Time{}
	for i, zone := range zones {
		cns := &consumers{zone: zone, host: "desk.example", path: "/chat/1", prefix: string(rune('a'+i)) + "-", failed: map[string]time.Time{}, directories: dep.directories(zone, 0)}
		for k := range goneRequests {
			grp.Go(func() {
				time.Sleep(time.Duration(k) * gonePause)
				patience, leaves := 20*time.Second, troubled && rand.Float64() < leaveShare
				if leaves {
					patience = leaveFrom + rand.N(leaveWithin-leaveFrom)
				}
				att, got := cns.sendStreamFor(body, earlyEvents, 20*time.Second, patience)
				at := time.Now()
				rec.detail("%6.3f s  %s sent to %s: %d, %d of %d events, leaves: %v at %.3f s, %s", att.at.Sub(began).Seconds(), att.id, att.front, att.status, got, earlyEvents, leaves, at.Sub(began).Seconds(), att.err)
				if leaves && got > 0 && got < earlyEvents {
					mtx.Lock()
					left[att.id] = at
					mtx.Unlock()
				}
			})
		}
	}
	grp.Wait()
	time.Sleep(2 * time.Second)
	return judgeGone(rec, began, engines, left), nil
}

// judgeGone checks the rule GONE for engines that are still at work.
func judgeGone(rec *record, began time.Time, engines []*modelEngine, left map[string]time.Time) bool {
	counted, still := 0, 0
	for _, eng := range engines {
		eng.mtx.Lock()
		for _, rn := range eng.runs {
			at, ok := left[rn.id]
			if !ok {
				continue
			}
			// It would have lasted so long: each stream takes this time.
			if would := rn.began.Add((earlyEvents - 1) * earlyGap); would.Sub(at) <= goneAfter || rn.ended.Before(at) {
				continue
			}
			counted++
			over := rn.ended.Sub(at)
			if over > goneAfter {
				still++
			}
			rec.detail("%s: its consumer left at %.3f s, %s was at work for %d ms more", rn.id, at.Sub(began).Seconds(), rn.engine, over.Milliseconds())
		}
		eng.mtx.Unlock()
	}
	rec.printf("%d consumers left while an engine was at work; at %d of these requests it still was %v later; the bound is a share of %.2f", counted, still, goneAfter, goneShare)
	broken := float64(still) > goneShare*float64(counted)
	if broken {
		rec.printf("GONE is broken")
	} else {
		rec.printf("GONE holds")
	}
	return broken
}
