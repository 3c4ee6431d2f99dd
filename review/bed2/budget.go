package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site.
const (
	budgetSlack  = 56
	budgetRatio  = 0.2
	budgetWindow = 10 * time.Second
)

// Times of the case "budget", from the begin of the traffic.
const (
	cutAt  = 6 * time.Second
	cutFor = 12 * time.Second
	// cutMachines of eight machines are a share of 0.35, rounded as the bench does.
	cutMachines = 3
	burstAt     = 11 * time.Second
	burstFor    = 6900 * time.Millisecond
	burstX      = 2.6
	trafficIn   = 24 * time.Second
)

// Times of the case "split": two cuts, the second of which ends twelve seconds before many users come.
const (
	splitCutAt   = 8 * time.Second
	splitPause   = 3 * time.Second
	splitBurstAt = splitCutAt + 2*cutFor + splitPause + 12*time.Second
	splitTraffic = splitBurstAt + 20*time.Second
	removePause  = 1220 * time.Millisecond
)

// Traffic and engines of both cases: usual traffic takes about half of what the engines can do.
const (
	// perZone is the number of requests a second of each of the four zones.
	perZone     = 2.0
	engineSlots = 1
	engineQueue = 1
	engineWork  = 300 * time.Millisecond
)

// budgetPlay is a play of the case "budget" or "split".
type budgetPlay struct {
	rec    *record
	dep    *deployment
	began  time.Time
	ledger *ledger
	groups []*consumers
}

// newBudgetPlay starts machines in the given zones, and engines of one plain service.
func newBudgetPlay(rec *record, zones []string) (*budgetPlay, error) {
	dep, err := newDeployment(zones)
	if err != nil {
		return nil, err
	}
	ply := &budgetPlay{rec: rec, dep: dep, ledger: &ledger{}}
	for i := range 4 {
		eng, err := newEngine(fmt.Sprintf("i-%d", i+1), engineSlots, engineQueue, engineWork, ply.ledger)
		if err != nil {
			return ply, err
		}
		dep.store.put("keyed.servers", eng.id, eng.entry("booking-api", zones[i]))
	}
	dep.store.put("keyed.op", "config", map[string]any{
		"version": 3, "tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []any{"9dnn2ctnfzs989anu6ws"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{"name": "booking-api", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"routes": []any{map[string]any{
			"name": "r-1", "host": "desk.example", "pathPrefix": "/log/", "routeType": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 2, "service": "booking-api", "maxAttempts": 2, "public": true, "stages": []any{},
		}},
	})
	if err := dep.startAll(); err != nil {
		return ply, err
	}
	// They know one another within some seconds.
	time.Sleep(5 * time.Second)
	ply.began = time.Now()
	return ply, nil
}

// send sends requests for a time, more of them during the bursts, one after the other, while the disruption runs. The
// first machines are removed meanwhile; equal is the number of directories that are equally near to a consumer.
func (ply *budgetPlay) send(span, burst time.Duration, bursts, removed, equal int, troubled bool, disrupt func()) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	rate := func(since time.Duration) float64 {
		if troubled && since >= burst && since < burst+time.Duration(bursts)*burstFor {
			return perZone * burstX
		}
		return perZone
	}
	var grp sync.WaitGroup
	for i, zone := range []string{"hall-a", "hall-b", "hall-c", "hall-d"} {
		cns := &consumers{zone: zone, host: "desk.example", path: "/log/1", deadline: 4 * time.Second, prefix: string(rune('a'+i)) + "-", failed: map[string]time.Time{}}
		cns.directories, cns.equal = ply.dep.directories(zone, removed), equal
		ply.groups = append(ply.groups, cns)
		grp.Go(func() { cns.run(ctx, rate) })
	}
	if disrupt != nil {
		disrupt()
	}
	grp.Wait()
}

// cut cuts machines off from the store and all other machines at a time, for cutFor.
func (ply *budgetPlay) cut(machines []*machine, at time.Duration) {
	time.Sleep(time.Until(ply.began.Add(at)))
	for _, mch := range machines {
		ply.rec.printf("%6.3f s  %s is cut off from the store and all other machines", time.Since(ply.began).Seconds(), mch.name)
		mch.cut.on.Store(true)
	}
	time.Sleep(cutFor)
	for _, mch := range machines {
		mch.cut.on.Store(false)
	}
	ply.rec.printf("%6.3f s  the cut ends", time.Since(ply.began).Seconds())
}

// budgetCase plays the case "budget": many users come at once while machines are cut off from all others and the store.
func budgetCase(rec *record, troubled, cuts bool) (broken bool, err error) {
	ply, err := newBudgetPlay(rec, []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d"})
	if ply != nil {
		defer ply.dep.close()
	}
	if err != nil {
		return false, err
	}
	ply.send(trafficIn, burstAt, 1, 0, 0, troubled, func() {
		if troubled && cuts {
			ply.cut(ply.dep.machines[:cutMachines], cutAt)
		}
	})
	return judgeBudget(rec, ply.dep, ply.began, ply.groups, ply.ledger.all()), nil
}

// splitCase plays the case "split": the machines that the settings name as seeds are removed for good, later others are cut
// off for a while, three at a time, and many users come at once well after the cut has ended.
func splitCase(rec *record, troubled, cuts bool) (broken bool, err error) {
	ply, err := newBudgetPlay(rec, []string{"hall-a", "hall-b", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d"})
	if ply != nil {
		defer ply.dep.close()
	}
	if err != nil {
		return false, err
	}
	ply.send(splitTraffic, splitBurstAt, 2, seedCount, 2, troubled, func() {
		if !troubled {
			return
		}
		for _, mch := range ply.dep.machines[:seedCount] {
			rec.printf("%6.3f s  %s gets SIGTERM and is removed", time.Since(ply.began).Seconds(), mch.name)
			mch.signal(syscall.SIGTERM)
			time.Sleep(removePause)
		}
		if cuts {
			ply.cut(ply.dep.machines[seedCount:seedCount+cutMachines], splitCutAt)
			ply.cut(ply.dep.machines[seedCount+cutMachines:seedCount+2*cutMachines], splitCutAt+cutFor+splitPause)
		}
		time.Sleep(time.Until(ply.began.Add(splitBurstAt)))
		for _, mch := range ply.dep.machines[seedCount:] {
			rec.printf("%6.3f s  %s names %d addresses", time.Since(ply.began).Seconds(), mch.name, len((&consumers{directories: []string{mch.directory}, host: "desk.example", zone: mch.zone}).addresses()))
		}
	})
	return judgeBudget(rec, ply.dep, ply.began, ply.groups, ply.ledger.all()), nil
}

// judgeBudget checks the rule BUDGET, as it stands in the rules under "Retries".
func judgeBudget(rec *record, dep *deployment, began time.Time, groups []*consumers, arrivals []arrival) bool {
	var sent []attempt
	for _, cns := range groups {
		sent = append(sent, cns.attempts...)
	}
	slices.SortFunc(sent, func(x, y attempt) int { return x.at.Compare(y.at) })
	slices.SortFunc(arrivals, func(x, y arrival) int { return x.at.Compare(y.at) })
	byFront := map[string]string{}
	for _, mch := range dep.machines {
		byFront[mch.front] = mch.name
	}
	front := map[string]string{}
	good := 0
	for _, att := range sent {
		front[att.id] = byFront[att.front]
		if att.status == http.StatusOK {
			good++
		}
		rec.detail("%6.3f s  %s sent to %s: %d %s after %d ms", att.at.Sub(began).Seconds(), att.id, byFront[att.front], att.status, att.err, att.took.Milliseconds())
	}
	seen := map[string]bool{}
	var again []time.Time
	extra := map[string]int{}
	for _, arr := range arrivals {
		rec.detail("%6.3f s  %s reaches %s, runs: %v, again: %v", arr.at.Sub(began).Seconds(), arr.id, arr.engine, arr.ran, seen[arr.id])
		if seen[arr.id] {
			again = append(again, arr.at)
			extra[front[arr.id]]++
		}
		seen[arr.id] = true
	}
	// counted is the number of requests sent in the window that ends at a time.
	counted := func(end time.Time) int {
		n := 0
		for _, att := range sent {
			if age := end.Sub(att.at); age >= 0 && age < budgetWindow {
				n++
			}
		}
		return n
	}
	worst, line := -1e9, ""
	for i, end := range again {
		inside := 0
		for _, at := range again[:i+1] {
			if end.Sub(at) < budgetWindow {
				inside++
			}
		}
		requests := max(counted(end), counted(end.Add(-budgetWindow)), counted(end.Add(-budgetWindow/2)))
		bound := budgetRatio*float64(requests) + budgetSlack
		if over := float64(inside) - bound; over > worst {
			worst = over
			line = fmt.Sprintf("in the %v up to %.3f s: %d arrivals beyond the first of each request, %d requests; the bound is %.1f", budgetWindow, end.Sub(began).Seconds(), inside, requests, bound)
		}
	}
	rec.printf("%d requests sent, %d answered with success, %d arrivals at the engines, %d of them beyond the first of each request", len(sent), good, len(arrivals), len(again))
	rec.printf("these by the machine that sent them: %v", extra)
	rec.printf("the worst window: %s", line)
	if worst > 0 {
		rec.printf("BUDGET is broken")
	} else {
		rec.printf("BUDGET holds")
	}
	return worst > 0
}

// record is the record of a case.
type record struct {
	mtx  sync.Mutex
	file *os.File
}

func (rec *record) printf(format string, args ...any) {
	rec.detail(format, args...)
	fmt.Printf(format+"\n", args...)
}

// detail writes a line to the record alone.
func (rec *record) detail(format string, args ...any) {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	_, _ = fmt.Fprintf(rec.file, format+"\n", args...)
}
