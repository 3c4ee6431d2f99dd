package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["rolling"] = runRolling }

// Times of the pages: drainMs, stableMs and graceS of the site, and the gap between two engines of a release.
const (
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	graceTime  = 8 * time.Second
	releaseGap = time.Second
	// lingerTime is how much longer than drainTime a leaving engine serves before it exits, up to lingerSteps times:
	// "a little longer (at times many seconds)".
	lingerTime  = 500 * time.Millisecond
	lingerSteps = 3
	// bookTime is how long a booking takes.
	bookTime   = 60 * time.Millisecond
	rollingRun = 95 * time.Second
	// rollingNodes and rollingEngines are the numbers of machines and of engines.
	rollingNodes   = 6
	rollingEngines = 6
	// requestGap is the time between two requests of a consumer; each machine has two consumers.
	requestGap = 25 * time.Millisecond
	// leavesSilently is set for one engine in this many: it never reports that it drains, its entry is removed.
	leavesSilently = 3
)

// calm tells since when a machine runs without a stop or a start; zero while it is stopped.
type calm struct {
	mtx   sync.Mutex
	since []time.Time
}

func (clm *calm) set(node int, at time.Time) {
	clm.mtx.Lock()
	defer clm.mtx.Unlock()
	clm.since[node] = at
}

// inTouch reports whether a machine has run undisturbed for stableTime.
func (clm *calm) inTouch(node int, now time.Time) bool {
	clm.mtx.Lock()
	defer clm.mtx.Unlock()
	return !clm.since[node].IsZero() && now.Sub(clm.since[node]) > stableTime
}

// fleet is the engines of the service, which are replaced one after the other.
type fleet struct {
	bed  *testbed
	sto  *store
	clm  *calm
	next int

	mtx    sync.Mutex
	broken []string
}

// add starts a new engine.
func (flt *fleet) add() (*engine, error) {
	flt.next++
	eng := &engine{id: fmt.Sprintf("i-b%03d", flt.next), service: "booking-api", zone: zones[flt.next%len(zones)], slots: 6}
	eng.handle = func(arv *arrival) string { return flt.handle(eng, arv) }
	return eng, flt.bed.startEngine(flt.sto, 101+flt.next%100, eng)
}

// handle answers a request, and checks whether it may reach the engine.
func (flt *fleet) handle(eng *engine, arv *arrival) string {
	now, left := time.Now(), eng.leftAt()
	id := arv.req.Header.Get(hdrID)
	switch {
	case arv.req.URL.Path == "/health" && !left.IsZero():
		return response(503, nil, "")
	case arv.req.URL.Path == "/health":
		return response(200, map[string]string{"Amaranthvalve-Instance-Id": eng.id}, "")
	case id == "":
		return response(400, map[string]string{hdrNotRun: "1"}, "")
	}
	var node int
	_, _ = fmt.Sscanf(id, "%02x", &node)
	if late := now.Sub(left); !left.IsZero() && late > drainTime {
		ok := flt.clm.inTouch(node-1, now)
		flt.bed.note("%s reaches %s %d ms after the ack of its leaving, node in touch: %v", id, eng.id, late.Milliseconds(), ok)
		if ok {
			flt.mtx.Lock()
			flt.broken = append(flt.broken, fmt.Sprintf("DRAIN: %s reached %s %d ms after the store's ack that it leaves (bound %d ms)", id, eng.id, late.Milliseconds(), drainTime.Milliseconds()))
			flt.mtx.Unlock()
		}
	}
	time.Sleep(bookTime)
	return eng.signed(arv, 200, "text/plain", "booked "+id)
}

// replace starts a new engine, and then drains an old one.
func (flt *fleet) replace(old *engine) (*engine, error) {
	fresh, err := flt.add()
	if err != nil {
		return nil, err
	}
	time.Sleep(releaseGap / 2)
	old.leave(flt.sto, flt.next%leavesSilently == 0)
	time.AfterFunc(drainTime+lingerTime*time.Duration(1+flt.next%lingerSteps), func() {
		flt.sto.add("keyed.servers", entry{key: old.id})
		flt.bed.note("engine %s exits", old.id)
		old.end()
	})
	return fresh, nil
}

// runRolling stops and starts the machines in turn while the engines are replaced one after the other. Without the
// disruption only the engines are replaced.
func runRolling(bed *testbed, trouble bool) ([]string, error) {
	sto := newStore()
	addr, err := bed.startStore(sto)
	if err != nil {
		return nil, err
	}
	sto.put("keyed.op", "config", booking(7, "/bobo563/", "key-1"))
	clm := &calm{since: make([]time.Time, rollingNodes)}
	flt := &fleet{bed: bed, sto: sto, clm: clm}
	var engines []*engine
	for range rollingEngines {
		eng, err := flt.add()
		if err != nil {
			return nil, err
		}
		engines = append(engines, eng)
	}
	if err := bed.startNodes(rollingNodes, addr); err != nil {
		return nil, err
	}
	for i := range rollingNodes {
		clm.set(i, time.Now())
	}
	time.Sleep(2 * stableTime)
	until := bed.began.Add(rollingRun)
	var grp sync.WaitGroup
	for con := range 2 * rollingNodes {
		grp.Go(func() { bed.book(con, clm, until) })
	}
	if trouble {
		grp.Go(func() { bed.roll(clm, until) })
	}
	for i := 0; time.Now().Before(until); i++ {
		if engines[i%len(engines)], err = flt.replace(engines[i%len(engines)]); err != nil {
			return nil, err
		}
		time.Sleep(releaseGap / 2)
	}
	grp.Wait()
	flt.mtx.Lock()
	defer flt.mtx.Unlock()
	return flt.broken, nil
}

// book sends bookings to a machine while it runs.
func (bed *testbed) book(con int, clm *calm, until time.Time) {
	node := con % len(bed.nodes)
	for seq := 0; time.Now().Before(until); seq++ {
		time.Sleep(requestGap)
		if !clm.inTouch(node, time.Now()) {
			continue
		}
		id := fmt.Sprintf("%02x%02x%06x", node+1, con, seq)
		ans := exchange(bed.nodes[node].front, request{method: "POST", path: "/bobo563/2f", host: host, id: id, key: "key-1", body: "book", deadline: 4 * time.Second}, 5*time.Second)
		if ans.status != 200 {
			bed.note("consumer gets %d for %s, %v", ans.status, id, ans.err)
		}
	}
}

// roll stops and starts the machines in turn, each when the one before is ready again.
func (bed *testbed) roll(clm *calm, until time.Time) {
	for i := 0; time.Now().Add(graceTime).Before(until); i++ {
		node := i % len(bed.nodes)
		nod := bed.nodes[node]
		clm.set(node, time.Time{})
		bed.note("node %s gets SIGTERM", nod.ip)
		nod.stop()
		if err := nod.start(nod.settings); err != nil {
			bed.note("node %s: %v", nod.ip, err)
			return
		}
		for !nod.isReady() && time.Now().Before(until) {
			time.Sleep(100 * time.Millisecond)
		}
		clm.set(node, time.Now())
		bed.note("node %s is ready again", nod.ip)
	}
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after graceTime.
func (nod *node) stop() {
	_ = nod.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(graceTime, func() { _ = nod.cmd.Process.Kill() })
	_ = nod.cmd.Wait()
	timer.Stop()
}
