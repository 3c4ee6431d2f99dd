package soak

import (
	"sync"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	brittleTime = 10 * time.Second
	// brittleSlots is the number of requests that brittle endpoints run at a time, as their entries
	// say; stage endpoints run stageSlots, as the document says.
	brittleSlots = 8
	stageSlots   = 1
	// waitingBefore is how many may wait before settleTime has passed; after that none may.
	waitingBefore = 8
	// burstSize requests are sent at a time, more than the endpoints run at a time, burstPause apart.
	burstSize  = 40
	burstPause = 400 * time.Millisecond
	// fallTime is the time from the fall of an endpoint to the start of its successor.
	fallTime = 2 * time.Second
)

// survivedRejections are the numbers of rejections within a second that brittle endpoints survive.
var survivedRejections = []int{1, 3, 10}

// brittlePeriod is a period in which the endpoints of a pool are brittle.
type brittlePeriod struct {
	pool  string
	most  int
	slots int
	queue int
	ended bool
	all   []*endpoint
	// falls has the times of the falls that count: most of what was rejected came from steady
	// instances.
	falls int
}

// makeBrittle makes the endpoints of a pool brittle for brittleTime.
func (sr *soakRun) makeBrittle() {
	brt := &brittlePeriod{pool: poolNames[sr.drawInt(len(poolNames))], most: survivedRejections[sr.drawInt(len(survivedRejections))], slots: brittleSlots, queue: waitingBefore}
	if brt.pool == "rosters" {
		brt.slots = stageSlots
	}
	serving := sr.servingEndpoints(brt.pool)
	sr.mtx.Lock()
	for _, oth := range sr.brittles {
		if oth.pool == brt.pool && !oth.ended {
			sr.mtx.Unlock()
			return
		}
	}
	sr.brittles = append(sr.brittles, brt)
	for _, ep := range serving {
		brt.arm(sr, ep)
	}
	sr.mtx.Unlock()
	sr.sendBursts(brt.pool, settleTime)
	sr.mtx.Lock()
	brt.queue = 0
	for _, ep := range brt.all {
		ep.SetRoom(brt.slots, brt.queue)
	}
	sr.mtx.Unlock()
	sr.sendBursts(brt.pool, brittleTime-settleTime)
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	brt.ended = true
	for _, ep := range brt.all {
		ep.SetBrittle(0, nil)
		ep.SetRoom(0, 0)
	}
}

// sendBursts sends bursts of requests for a pool to drawn instances for a while.
func (sr *soakRun) sendBursts(pool string, span time.Duration) {
	var wgr sync.WaitGroup
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(burstPause) {
		for range burstSize {
			ins := sr.drawInstance()
			sr.mtx.Lock()
			sr.bursts++
			clr := sr.newCaller(10000 + sr.bursts)
			sr.mtx.Unlock()
			wgr.Add(1)
			go func() {
				defer wgr.Done()
				clr.sendQuick(ins, kindOfPool[pool], permanentKey, 0)
				clr.cli.CloseIdleConnections()
			}()
		}
	}
	wgr.Wait()
}

// kindOfPool has a kind of request for each pool.
var kindOfPool = map[string]requestKind{"bookings": requestKinds[1], "engines": requestKinds[3], "rosters": requestKinds[4]}

// arm makes an endpoint brittle; sr.mtx must be held.
func (brt *brittlePeriod) arm(sr *soakRun, ep *endpoint) {
	brt.all = append(brt.all, ep)
	ep.SetRoom(brt.slots, brt.queue)
	ep.SetBrittle(brt.most, func() { sr.fell(brt, ep) })
}

// fell records the fall of an endpoint, and replaces it later.
func (sr *soakRun) fell(brt *brittlePeriod, ep *endpoint) {
	rejected := ep.Rejections()
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	if ep.gone {
		return
	}
	ep.gone = true
	if sr.countsAsFall(rejected, time.Now()) {
		brt.falls++
	}
	ep.srv.Close()
	ep.proxy.close()
	time.AfterFunc(fallTime, func() { sr.addEndpoint(ep.pool) })
	time.AfterFunc(entryExpiry, func() { sr.store.RemoveEndpoint(ep.ID()) })
}

// countsAsFall reports whether most of what was rejected in the second before a fall came from steady
// instances. Of a batch it isn't known from which instance it came: it counts while all are steady.
func (sr *soakRun) countsAsFall(rejected []fake.Rejection, now time.Time) bool {
	steady, all := 0, 0
	for _, rej := range rejected {
		if now.Sub(rej.At) > time.Second {
			continue
		}
		all++
		if att, ok := sr.attempts[rej.ID]; ok && att.ins.steady(att.sent) || !ok && sr.allSteady(now) {
			steady++
		}
	}
	return 2*steady > all
}

// allSteady reports whether all instances are steady.
func (sr *soakRun) allSteady(now time.Time) bool {
	for _, ins := range sr.insts {
		if !ins.steady(now) {
			return false
		}
	}
	return true
}

// checkBrittle checks that the endpoints of a pool fall no more often than twice and a tenth of their
// number while they are brittle.
func (sr *soakRun) checkBrittle() {
	for _, brt := range sr.brittles {
		rejections := 0
		for _, ep := range brt.all {
			rejections += len(ep.Rejections())
		}
		allowed := 2 + endpointsPerPool/10
		sr.note("%d brittle endpoints of %s that survive %d rejections a second rejected %d requests, %d falls count", len(brt.all), brt.pool, brt.most, rejections, brt.falls)
		if brt.falls > allowed {
			sr.violation("brittle: endpoints of %s fell %d times, %d allowed", brt.pool, brt.falls, allowed)
		}
	}
}
