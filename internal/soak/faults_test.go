package soak

import (
	"context"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"amaranthvalve/platform/fake"
)

// Bounds of what is drawn.
const (
	leastFault = 300 * time.Millisecond
	mostFault  = 3500 * time.Millisecond
	leastGap   = 100 * time.Millisecond
	mostGap    = 1500 * time.Millisecond
	// lapseFor is how long the entry of an endpoint that died stays.
	lapseFor = 3600 * time.Millisecond
	// servesOn is how long a leaving endpoint goes on serving.
	servesOn = 4 * time.Second
)

// trouble is one kind of fault: it lasts until it returns. New kinds go to the end of the
// list, so that kept seeds draw what they drew.
type trouble struct {
	name string
	play func(wld *world)
}

var troubles = []trouble{
	{"kill", (*world).kill},
	{"planned stop", (*world).plannedStop},
	{"freeze", (*world).freeze},
	{"settings", (*world).changeSettings},
	{"store", (*world).storeFault},
	{"way to the store", (*world).storeWay},
	{"way to an endpoint", (*world).endpointWay},
	{"way to an instance", (*world).frontWay},
	{"endpoint", (*world).endpointFaults},
	{"endpoint dies", (*world).endpointDies},
	{"endpoint leaves", (*world).endpointLeaves},
	{"document", func(wld *world) { wld.publish(false) }},
	{"key taken away", func(wld *world) { wld.publish(true) }},
	{"herd kill", (*world).herdKill},
	{"way between instances", (*world).peerWay},
	{"stops one after the other", (*world).rollingStop},
	{"request that ends endpoints", (*world).deadlyRequest},
	{"endpoint names a rate", (*world).namesRate},
}

// withStops is the number of kinds from which on runs may have answers of varied length.
// One trouble in stopsOf is drawn from all kinds in such a run; the others are planned stops.
const (
	withStops = 16
	stopsOf   = 4
)

// play inflicts series of troubles, which overlap, until the context ends, and waits
// for their ends.
func (wld *world) play(ctx context.Context, log func(format string, args ...any)) {
	var wgr sync.WaitGroup
	began := time.Now()
	for ctx.Err() == nil {
		trb := wld.trouble()
		times := 1 + wld.draw(3)
		gap := wld.span(leastGap, mostGap)
		log("%6d ms: %s, %d times, %v apart", time.Since(began).Milliseconds(), trb.name, times, gap)
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			for range times {
				if ctx.Err() != nil {
					return
				}
				trb.play(wld)
				time.Sleep(gap)
			}
		}()
		time.Sleep(wld.span(leastGap, mostGap))
	}
	wgr.Wait()
}

// trouble draws the next one. Where answers are of varied length all but a few are planned
// stops: an instance is judged by its stops only while all else around it is well.
func (wld *world) trouble() trouble {
	if wld.trm.varied && wld.draw(stopsOf) > 0 {
		return []trouble{{"planned stop", (*world).plannedStop}, {"stops one after the other", (*world).rollingStop}}[wld.draw(2)]
	}
	return troubles[wld.draw(wld.kinds)]
}

func (wld *world) instance() *instance { return wld.insts[wld.draw(len(wld.insts))] }

// faultTime draws how long a fault lasts.
func (wld *world) faultTime() time.Duration { return wld.span(leastFault, mostFault) }

func (wld *world) begin(ins *instance) {
	if err := ins.start(wld.program); err != nil {
		wld.breaks("%s did not start: %v", ins.name, err)
	}
}

func (wld *world) kill() {
	ins := wld.instance()
	ins.signal(syscall.SIGKILL)
	ins.gone(time.Second, never)
	time.Sleep(wld.span(leastFault, leastFault*4))
	wld.begin(ins)
}

func (wld *world) herdKill() {
	for _, ins := range wld.insts {
		ins.signal(syscall.SIGKILL)
	}
	for _, ins := range wld.insts {
		ins.gone(time.Second, never)
	}
	time.Sleep(leastFault)
	for _, ins := range wld.insts {
		wld.begin(ins)
	}
}

func (wld *world) plannedStop() { wld.stop(wld.instance()) }

// rollingStop stops all instances, one begun soon after the other, so that several may be
// leaving at a time; one that was started or troubled just now is waited for.
func (wld *world) rollingStop() {
	first, gap := wld.draw(len(wld.insts)), wld.span(leastGap, mostGap/2)
	until := time.Now().Add(settleFor)
	var wgr sync.WaitGroup
	for i := range wld.insts {
		ins := wld.insts[(first+i)%len(wld.insts)]
		for !ins.calm(time.Now()) && time.Now().Before(until) {
			time.Sleep(leastGap)
		}
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			wld.stop(ins)
		}()
		time.Sleep(gap)
	}
	wgr.Wait()
}

// stop stops an instance as planned and starts it again.
func (wld *world) stop(ins *instance) {
	calm := ins.calm(time.Now())
	asked := time.Now()
	ins.signal(syscall.SIGTERM)
	ins.gone(ins.stop+time.Second, func() {
		// The kill that follows counts as a trouble.
		ins.mtx.Lock()
		calm = calm && ins.troubled.Before(asked) && ins.began.Before(asked)
		ins.mtx.Unlock()
		if calm {
			wld.breaks("stop: %s took longer than %v", ins.name, ins.stop)
		}
	})
	wld.begin(ins)
}

func (wld *world) freeze() {
	ins := wld.instance()
	ins.signal(syscall.SIGSTOP)
	time.Sleep(wld.faultTime())
	ins.signal(syscall.SIGCONT)
}

// changeSettings writes settings with faults, or tells to read them again; neither may
// change anything.
func (wld *world) changeSettings() {
	ins := wld.instance()
	text, err := os.ReadFile(ins.settled)
	if err != nil {
		wld.breaks("settings: %v", err)
		return
	}
	if wld.draw(2) == 0 && !strings.HasPrefix(string(text), "nonsense") {
		ins.spoil(text, leastGap)
	}
	ins.signal(syscall.SIGHUP)
}

func (wld *world) storeFault() {
	span := wld.faultTime()
	wld.troubleAll(time.Now().Add(span))
	wld.store.SetMode([]fake.Mode{fake.Busy, fake.Silent, fake.Lossy, fake.Slow}[wld.draw(4)])
	time.Sleep(span)
	wld.store.SetMode(fake.Well)
	wld.troubleAll(time.Now())
}

// disturb does something to a wire for a while.
func (wld *world) disturb(wir *wire, span time.Duration) {
	switch choice := wld.draw(6); choice {
	case 0:
		wir.reset()
	case 1:
		wir.stick()
	default:
		wir.set([]state{delays, mute, deaf, silent}[choice-2])
	}
	time.Sleep(span)
	wir.set(passes)
}

func (wld *world) storeWay() {
	ins, span := wld.instance(), wld.faultTime()
	ins.trouble(time.Now().Add(span))
	wld.disturb(ins.store, span)
	ins.trouble(time.Now())
}

func (wld *world) frontWay() {
	ins, span := wld.instance(), wld.faultTime()/2
	ins.trouble(time.Now().Add(span))
	wld.disturb(ins.front, span)
	ins.trouble(time.Now())
}

// peerWay does something for a while to all that the others send to an instance and are
// sent back. The others stay well: they must do without it.
func (wld *world) peerWay() {
	ins, span := wld.instance(), wld.faultTime()
	ins.trouble(time.Now().Add(span))
	ins.peers.set([]state{delays, mute, deaf, silent, loses}[wld.draw(5)])
	time.Sleep(span)
	ins.peers.set(passes)
	ins.trouble(time.Now())
}

// endpoint draws one that serves; nil if its pool would be left without.
func (wld *world) endpoint(keep int) *endpoint {
	list := wld.serving(poolNames[wld.draw(len(poolNames))])
	if len(list) <= keep {
		return nil
	}
	return list[wld.draw(len(list))]
}

func (wld *world) troubleEndpoint(ep *endpoint, until time.Time) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	ep.troubled = later(ep.troubled, until)
}

func (wld *world) endpointWay() {
	ep, span := wld.endpoint(0), wld.faultTime()
	if ep == nil {
		return
	}
	wld.troubleEndpoint(ep, time.Now().Add(span))
	wld.disturb(ep.wire, span)
	wld.troubleEndpoint(ep, time.Now())
}

func (wld *world) endpointFaults() {
	ep := wld.endpoint(0)
	if ep == nil {
		return
	}
	all := []fake.Fault{fake.Shed, fake.Fails, fake.Cuts, fake.CutsMidway, fake.Foreign, fake.Unsigned, fake.Hangs}
	for range 2 + wld.draw(4) {
		ep.Fault(all[wld.draw(len(all))])
	}
}

// endpointDies: it ends without a word, its entry lapses later, and another comes.
func (wld *world) endpointDies() {
	ep := wld.endpoint(1)
	if ep == nil {
		return
	}
	wld.mtx.Lock()
	ep.gone = true
	wld.mtx.Unlock()
	ep.srv.Close()
	ep.wire.reset()
	wld.addEndpoint(ep.pool)
	time.Sleep(lapseFor)
	wld.store.RemoveEndpoint(ep.ID())
}

// endpointLeaves: it says so, serves on for a while, and another comes.
func (wld *world) endpointLeaves() {
	ep := wld.endpoint(1)
	if ep == nil {
		return
	}
	wld.addEndpoint(ep.pool)
	wld.store.PutEndpoint(ep.ID(), fake.Entry(ep.pool, ep.wire.addr(), true))
	wld.mtx.Lock()
	ep.drained = time.Now()
	wld.mtx.Unlock()
	time.Sleep(servesOn)
	wld.store.RemoveEndpoint(ep.ID())
	wld.mtx.Lock()
	ep.gone = true
	wld.mtx.Unlock()
	ep.srv.Close()
}

// heal ends all that is done to anybody.
func (wld *world) heal() {
	wld.store.SetMode(fake.Well)
	for _, ins := range wld.insts {
		ins.store.set(passes)
		ins.front.set(passes)
		ins.peers.set(passes)
		ins.signal(syscall.SIGCONT)
		if _, _, leaving := ins.standing(); leaving {
			ins.gone(ins.stop+time.Second, never)
		}
		wld.begin(ins)
	}
	for _, ep := range wld.eps {
		ep.wire.set(passes)
		ep.Mend()
	}
}
