package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The cases of the readers: the nodes that read the store for the others are stopped in turn, or killed at the same
// moment, while an engine leaves. No node to which nothing is done may send that engine work later than drainMs after
// the store's ack.

const (
	drainBound    = 2 * time.Second
	drainNodes    = 6
	drainRounds   = 5
	drainLead     = 10 * time.Second
	drainRest     = 6 * time.Second
	drainInterval = 10 * time.Millisecond
	// readerAge is how long ago a reader has read the engines' entries at most.
	readerAge = 1200 * time.Millisecond
	// leaveDelay is the time from the first stop or the kill to the store's ack of the engine's leaving, exitAfter how
	// much longer than drainMs the engine serves.
	leaveDelay = 200 * time.Millisecond
	exitAfter  = time.Second
	// termGap is gap_s of the planned stops, downTime for_s of the kill.
	termGap  = 1300 * time.Millisecond
	downTime = 2 * time.Second
)

func stoppedReaders(trouble bool, rec *record) (bool, error) { return leaving(trouble, true, rec) }

func deadReaders(trouble bool, rec *record) (bool, error) { return leaving(trouble, false, rec) }

// drainRun is a run of a case of the readers.
type drainRun struct {
	flt     *fleet
	rec     *record
	planned bool

	mtx sync.Mutex
	// touched has the nodes to which something is done in this round.
	touched map[*node]bool
	// taken has the node that took each request from its consumer; requests of touched nodes aren't in it.
	taken map[string]*node
	// arrived has the time at which each request reached an engine, by engine; statuses has the answers.
	arrived  map[string]map[string]time.Time
	statuses map[string]int
}

func leaving(trouble, planned bool, rec *record) (broken bool, err error) {
	flt, err := newFleet(drainNodes, "a", "b")
	if err != nil {
		return false, err
	}
	defer flt.close()
	run := &drainRun{
		flt: flt, rec: rec, planned: planned, touched: map[*node]bool{}, taken: map[string]*node{},
		arrived: map[string]map[string]time.Time{}, statuses: map[string]int{},
	}
	var engines []*engine
	for i := range drainRounds + 2 {
		eng, err := run.startBooking(i)
		if err != nil {
			return false, err
		}
		engines = append(engines, eng)
	}
	flt.store.put(topicOp, "config", keyDocument(3, []string{"9dnn2ctnfzs989anu6ws"}))
	if err := flt.startAll(); err != nil {
		return false, err
	}
	stop := run.sendBookings()
	late := 0
	for i := range drainRounds {
		time.Sleep(drainLead)
		late += run.round(engines[i], trouble)
	}
	stop()
	rec.printf("requests that reached a leaving engine later than %v after the ack: %d; requests in all: %d", drainBound, late, len(run.taken))
	fmt.Printf("late at a leaving engine %d of %d requests\n", late, len(run.taken))
	if len(run.taken) == 0 {
		return false, errors.New("nothing was sent")
	}
	return late > 0, nil
}

// startBooking starts an engine of the booking service.
func (run *drainRun) startBooking(i int) (*engine, error) {
	eng := &engine{id: fmt.Sprintf("i-booking-%d", i+1), service: "booking", zone: run.flt.zones[i%2], slots: 6}
	run.arrived[eng.id] = map[string]time.Time{}
	eng.handle = func(req *http.Request, _ []byte) answer {
		id := req.Header.Get("Amaranthvalve-Request-Id")
		if id == "" {
			return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
		}
		run.mtx.Lock()
		run.arrived[eng.id][id] = time.Now()
		run.mtx.Unlock()
		run.rec.printf("run %s at %s", id, eng.id)
		time.Sleep(60 * time.Millisecond)
		return eng.signed("booked " + id)
	}
	return eng, run.flt.startEngine(eng)
}

// sendBookings sends a booking now and then to a node that runs, until stop is called.
func (run *drainRun) sendBookings() (stop func()) {
	con, ended := newConsumer(run.flt), make(chan struct{})
	var grp sync.WaitGroup
	grp.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(drainInterval):
			}
			nod, id := run.flt.nodes[rand.IntN(drainNodes)], newID()
			run.mtx.Lock()
			touched := run.touched[nod]
			if !touched {
				run.taken[id] = nod
			}
			run.mtx.Unlock()
			if touched {
				continue
			}
			grp.Go(func() {
				rep := con.sendTo(nod.front, id, http.MethodPost, "/confirm/block/7", "9dnn2ctnfzs989anu6ws", `{"block":7}`, 4*time.Second, nil)
				run.rec.printf("request %s to %s answered %d %v", id, nod.name, rep.status, rep.err)
				run.mtx.Lock()
				run.statuses[id] = rep.status
				run.mtx.Unlock()
			})
		}
	})
	return func() {
		close(ended)
		grp.Wait()
	}
}

// readers returns the nodes that have read the engines' entries lately.
func (run *drainRun) readers() []*node {
	var list []*node
	for _, nod := range run.flt.nodes {
		if time.Since(run.flt.store.lastList(nod.store)) < readerAge {
			list = append(list, nod)
		}
	}
	return list
}

// round lets an engine leave, and returns how many requests reached it too late from nodes to which nothing was done.
func (run *drainRun) round(eng *engine, trouble bool) (late int) {
	readers := run.readers()
	if trouble {
		run.mtx.Lock()
		for _, nod := range readers {
			run.touched[nod] = true
		}
		run.mtx.Unlock()
		if run.planned {
			run.stopInTurn(readers)
		} else {
			run.kill(readers)
		}
	}
	time.Sleep(leaveDelay)
	var ack time.Time
	if run.planned {
		ack = eng.drain(run.flt.store)
	} else {
		ack = eng.remove(run.flt.store)
	}
	run.rec.printf("the store acknowledged that %s leaves; %d nodes read the store", eng.id, len(readers))
	time.Sleep(time.Until(ack.Add(drainBound + exitAfter)))
	eng.exit(run.flt.store)
	run.rec.printf("%s exits", eng.id)
	time.Sleep(drainRest)
	run.mtx.Lock()
	defer run.mtx.Unlock()
	for id, at := range run.arrived[eng.id] {
		nod := run.taken[id]
		if nod == nil || at.Sub(ack) <= drainBound {
			continue
		}
		late++
		run.rec.printf("BROKEN DRAIN: request %s reached %s %d ms after the ack of its leaving, from %s, answered %d", id, eng.id, at.Sub(ack).Milliseconds(), nod.name, run.statuses[id])
	}
	clear(run.touched)
	return late
}

// stopInTurn sends SIGTERM to nodes one after the other, and starts each again when it has ended.
func (run *drainRun) stopInTurn(list []*node) {
	for i, nod := range list {
		time.AfterFunc(time.Duration(i)*termGap, func() {
			run.rec.printf("disruption: SIGTERM to %s", nod.name)
			nod.signal(syscall.SIGTERM)
			<-nod.ended
			_ = run.flt.start(nod)
		})
	}
}

// kill kills nodes at the same moment, and starts them again later.
func (run *drainRun) kill(list []*node) {
	for _, nod := range list {
		run.rec.printf("disruption: SIGKILL to %s", nod.name)
		nod.signal(syscall.SIGKILL)
	}
	time.AfterFunc(downTime, func() {
		for _, nod := range list {
			<-nod.ended
			_ = run.flt.start(nod)
		}
	})
}
