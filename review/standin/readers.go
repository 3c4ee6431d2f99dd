package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// drainTime is the bound drainMs, stableTime the bound stableMs.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// downTime is how long killed processes are down, for_s of the site file's herd_kill.
	downTime = 2 * time.Second
	// readerAge is how long ago an instance that reads the store has read the list of the engines at most.
	readerAge = 1200 * time.Millisecond
	// exitAfter is how much longer than drainMs a leaving engine serves: "a little longer".
	exitAfter = time.Second
	// leaveAfter is the time from the kill to the removal of an engine's entry.
	leaveAfter = 200 * time.Millisecond
	// termGap is the pause between two planned stops, gap_s of the site file's roll_term.
	termGap = 1300 * time.Millisecond
	// rounds is how often the processes are killed.
	rounds = 5
)

// stoppedReaders stops the instances that read the store one after the other, as in a planned restart, while an engine
// drains.
func stoppedReaders(dep *deployment, trouble bool) (bool, error) {
	return leaving(dep, trouble, true)
}

// deadReaders kills the processes that read the store, all at the same moment, while an engine leaves: its entry is
// removed without having been draining, and it goes on serving. It checks when requests reach that engine.
func deadReaders(dep *deployment, trouble bool) (bool, error) {
	return leaving(dep, trouble, false)
}

// leaving lets engines leave one after the other, while readers of the store are killed, or stopped in turn.
func leaving(dep *deployment, trouble, planned bool) (bool, error) {
	var engines []*plainEngine
	for i := range rounds + 2 {
		eng, err := newPlainEngine(dep, "booking-api", fmt.Sprintf("i-b%d", i+1), dep.zones[i%2], 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, eng)
	}
	dep.publish(bookingManifest(nil))
	if err := dep.start(6); err != nil {
		return false, err
	}
	if _, err := dep.resolve(context.Background(), host, dep.nodes[0]); err != nil {
		return false, err
	}
	trf := &traffic{dep: dep, planned: planned, con: newConsumer(), down: map[*instance]time.Time{}, taken: map[string]*instance{}, failed: map[string]reply{}}
	stop := trf.run()
	defer stop()
	late := 0
	for i := range rounds {
		time.Sleep(3*stableTime + time.Second)
		late += trf.round(engines[i], i+1, trouble)
	}
	dep.rec.printf("%d requests reached engines more than %v after the ack of their leaving", late, drainTime)
	return late == 0, nil
}

// traffic sends bookings to all running instances.
type traffic struct {
	dep *deployment
	con *consumer
	// planned is set if readers are stopped in turn and engines drain; otherwise they are killed.
	planned bool

	mtx sync.Mutex
	// down has the killed instances, with the time of the kill, or that at which they were ready again.
	down map[*instance]time.Time
	// taken has the instance that each request was sent to, failed those that weren't answered with success.
	taken  map[string]*instance
	failed map[string]reply
}

// run sends a booking every 10 ms, until stop is called.
func (trf *traffic) run() (stop func()) {
	ended := make(chan struct{})
	var grp sync.WaitGroup
	grp.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(10 * time.Millisecond):
			}
			trf.mtx.Lock()
			nod := trf.dep.nodes[rand.IntN(len(trf.dep.nodes))]
			id := newID()
			_, touched := trf.down[nod]
			if !touched {
				trf.taken[id] = nod
			}
			trf.mtx.Unlock()
			if touched {
				continue
			}
			grp.Go(func() {
				rep := trf.con.send(nod.front(), "/booking/2f", id, 3*time.Second, map[string]string{"Authorization": "Bearer " + keyOf("bozi300")}, "track 7")
				if rep.status != 200 || rep.err != nil {
					trf.mtx.Lock()
					trf.failed[id] = rep
					trf.mtx.Unlock()
					trf.dep.rec.printf("%s answered by %s: status %d, error %v: %.150s", id, nod.name, rep.status, rep.err, rep.body)
				}
			})
		}
	})
	return func() {
		close(ended)
		grp.Wait()
	}
}

// round kills the readers while an engine leaves, and returns how many requests reached that engine too late from
// instances that nothing was done to.
func (trf *traffic) round(eng *plainEngine, number int, trouble bool) (late int) {
	dep := trf.dep
	readers := trf.readers()
	dep.rec.printf("round %d: %d instances read the store", number, len(readers))
	if trouble {
		trf.mtx.Lock()
		for _, nod := range readers {
			trf.down[nod] = time.Now()
		}
		trf.mtx.Unlock()
		if trf.planned {
			trf.stopInTurn(readers)
		} else {
			trf.kill(readers)
		}
	}
	time.Sleep(leaveAfter)
	if trf.planned {
		ent := entry(eng.service, eng.addr, eng.zone, 6)
		ent["state"], ent["sequence"] = "draining", 1
		dep.sto.put(topicServers, eng.id, ent)
	} else {
		dep.sto.put(topicServers, eng.id, nil)
	}
	acked := time.Now()
	dep.rec.printf("acknowledged that %s leaves", eng.id)
	time.Sleep(time.Until(acked.Add(drainTime + exitAfter)))
	_ = eng.srv.Close()
	dep.rec.printf("%s exits", eng.id)
	time.Sleep(2*drainTime + 2*time.Second)
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	for _, run := range eng.runs {
		span := run.at.Sub(acked)
		trf.mtx.Lock()
		nod, rep := trf.taken[run.id], trf.failed[run.id]
		trf.mtx.Unlock()
		if span > drainTime && nod != nil {
			late++
			dep.rec.printf("LATE: %s reached %s from %s %d ms after the ack", run.id, eng.id, nod.name, span.Milliseconds())
		}
		if span > drainTime && rep.status != 0 {
			dep.rec.printf("LOST: %s had run, and was answered %d", run.id, rep.status)
		}
	}
	trf.mtx.Lock()
	defer trf.mtx.Unlock()
	// Those that were killed take requests again in the next round.
	clear(trf.down)
	return late
}

// readers returns the instances that have read the list of the engines lately.
func (trf *traffic) readers() []*instance {
	lists := trf.dep.sto.lastLists()
	var list []*instance
	for _, nod := range trf.dep.nodes {
		if time.Since(lists[nod.store]) < readerAge {
			list = append(list, nod)
		}
	}
	return list
}

// kill kills instances at the same moment, and starts them again later.
func (trf *traffic) kill(list []*instance) {
	for _, nod := range list {
		_ = nod.cmd.Process.Kill()
	}
	for _, nod := range list {
		<-nod.exited
		trf.dep.rec.printf("killed %s", nod.name)
	}
	time.AfterFunc(downTime, func() {
		for _, nod := range list {
			_ = trf.dep.launch(nod)
		}
	})
}

// stopInTurn stops instances one after the other by SIGTERM, and starts each again once it has ended.
func (trf *traffic) stopInTurn(list []*instance) {
	for i, nod := range list {
		time.AfterFunc(time.Duration(i)*termGap, func() {
			trf.dep.rec.printf("SIGTERM to %s", nod.name)
			_ = nod.cmd.Process.Signal(syscall.SIGTERM)
			<-nod.exited
			time.Sleep(time.Second / 2)
			_ = trf.dep.launch(nod)
		})
	}
}
