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

// Bounds of the drawn durations of faults and of the gaps between faults.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	minGap           = 100 * time.Millisecond
	maxGap           = 1500 * time.Millisecond
	// entryExpiry is how long the entry of a crashed endpoint remains in the store.
	entryExpiry = 3600 * time.Millisecond
	// drainTime is how long a leaving endpoint continues to serve.
	drainTime = 4 * time.Second
)

// faultKind is a kind of fault; inject returns when the fault has ended. New kinds go to the end
// of the list, so that recorded seeds draw the same faults.
type faultKind struct {
	name   string
	inject func(sr *soakRun)
}

var faultKinds = []faultKind{
	{"kill", (*soakRun).killInstance},
	{"planned shutdown", (*soakRun).plannedShutdown},
	{"freeze", (*soakRun).freezeInstance},
	{"settings", (*soakRun).reloadSettings},
	{"store", (*soakRun).storeFault},
	{"proxy of the store", (*soakRun).storeProxyFault},
	{"proxy of an endpoint", (*soakRun).endpointProxyFault},
	{"proxy of an instance", (*soakRun).frontProxyFault},
	{"endpoint", (*soakRun).endpointFaults},
	{"endpoint crashes", (*soakRun).endpointCrash},
	{"endpoint drains", (*soakRun).endpointDrain},
	{"document", func(sr *soakRun) { sr.publish(false) }},
	{"key revoked", func(sr *soakRun) { sr.publish(true) }},
	{"kill of all instances", (*soakRun).killAllInstances},
	{"proxy between instances", (*soakRun).peerProxyFault},
	{"rolling shutdown", (*soakRun).rollingShutdown},
	{"poison request", (*soakRun).sendPoison},
	{"endpoint declares a rate", (*soakRun).declareRate},
	{"partition from all endpoints", (*soakRun).partition},
	{"brittle endpoints", (*soakRun).makeBrittle},
	{"answers of all shapes", (*soakRun).shapeAnswers},
	{"store from a copy", (*soakRun).restoreStore},
	{"engines of another build", (*soakRun).rollOutBuild},
	{"part of prompts", (*soakRun).sendParts},
	{"answers without end", (*soakRun).floodAnswers},
	{"endpoints drain in series", (*soakRun).drainSeries},
}

// Runs that draw from at least variedFromKinds kinds may have answers of varied length. In such a
// run one fault in anyFaultOneIn is drawn from all kinds; the others are planned shutdowns.
const (
	variedFromKinds = 16
	anyFaultOneIn   = 4
	// Runs that draw from at least calmFromKinds kinds and have answers of the usual length draw most
	// faults from calmFaults; one in calmAnyFaultOneIn is drawn from all kinds.
	calmFromKinds     = 20
	calmAnyFaultOneIn = 8
)

// calmFaults are the kinds of fault during which instances count as steady.
var calmFaults = []faultKind{
	{"partition from all endpoints", (*soakRun).partition},
	{"brittle endpoints", (*soakRun).makeBrittle},
	{"endpoint", (*soakRun).endpointFaults},
}

// rollOutFaults are roll-outs of builds, and the faults that break streams off.
var rollOutFaults = []faultKind{
	{"engines of another build", (*soakRun).rollOutBuild},
	{"kill", (*soakRun).killInstance},
	{"planned shutdown", (*soakRun).plannedShutdown},
	{"rolling shutdown", (*soakRun).rollingShutdown},
	{"proxy of an instance", (*soakRun).frontProxyFault},
	{"endpoint crashes", (*soakRun).endpointCrash},
	{"endpoint", (*soakRun).endpointFaults},
}

// inject injects overlapping series of faults until the context ends, and waits for the faults to
// end.
func (sr *soakRun) inject(ctx context.Context, log func(format string, args ...any)) {
	var wgr sync.WaitGroup
	start := time.Now()
	if sr.params.parts {
		wgr.Go(sr.sendParts)
	}
	for ctx.Err() == nil {
		flt := sr.drawFault()
		times := 1 + sr.drawInt(3)
		gap := sr.drawDuration(minGap, maxGap)
		log("%6d ms: %s, %d times, gap %v", time.Since(start).Milliseconds(), flt.name, times, gap)
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			for range times {
				if ctx.Err() != nil {
					return
				}
				flt.inject(sr)
				time.Sleep(gap)
			}
		}()
		time.Sleep(sr.drawDuration(minGap, maxGap))
	}
	wgr.Wait()
}

// drawFault draws the next kind of fault. In runs with answers of varied length most faults are
// planned shutdowns, since shutdowns are checked only while the instance is otherwise
// undisturbed.
func (sr *soakRun) drawFault() faultKind {
	if sr.params.variedAnswers && sr.drawInt(anyFaultOneIn) > 0 {
		return []faultKind{{"planned shutdown", (*soakRun).plannedShutdown}, {"rolling shutdown", (*soakRun).rollingShutdown}}[sr.drawInt(2)]
	}
	if sr.params.calm && sr.drawInt(calmAnyFaultOneIn) > 0 {
		return calmFaults[sr.drawInt(len(calmFaults))]
	}
	if sr.params.rollOuts && sr.drawInt(calmAnyFaultOneIn) > 0 {
		return rollOutFaults[sr.drawInt(len(rollOutFaults))]
	}
	if sr.params.parts && sr.drawInt(calmAnyFaultOneIn) > 0 {
		return partFaults[sr.drawInt(len(partFaults))]
	}
	if sr.params.floods && sr.drawInt(calmAnyFaultOneIn) > 0 {
		return floodFaults[sr.drawInt(len(floodFaults))]
	}
	if sr.params.drains && sr.drawInt(calmAnyFaultOneIn) > 0 {
		return drainFaults[sr.drawInt(len(drainFaults))]
	}
	return faultKinds[sr.drawInt(sr.faultKinds)]
}

func (sr *soakRun) drawInstance() *instance { return sr.insts[sr.drawInt(len(sr.insts))] }

// drawFaultDuration draws how long a fault lasts.
func (sr *soakRun) drawFaultDuration() time.Duration {
	return sr.drawDuration(minFaultDuration, maxFaultDuration)
}

func (sr *soakRun) startInstance(ins *instance) {
	if err := ins.start(sr.program); err != nil {
		sr.violation("start: %s did not start: %v", ins.name, err)
	}
}

func (sr *soakRun) killInstance() {
	ins := sr.drawInstance()
	ins.signal(syscall.SIGKILL)
	ins.awaitEnd(time.Second, ignoreTimeout)
	time.Sleep(sr.drawDuration(minFaultDuration, minFaultDuration*4))
	sr.startInstance(ins)
}

func (sr *soakRun) killAllInstances() {
	for _, ins := range sr.insts {
		ins.signal(syscall.SIGKILL)
	}
	for _, ins := range sr.insts {
		ins.awaitEnd(time.Second, ignoreTimeout)
	}
	time.Sleep(minFaultDuration)
	for _, ins := range sr.insts {
		sr.startInstance(ins)
	}
}

func (sr *soakRun) plannedShutdown() { sr.restart(sr.drawInstance()) }

// rollingShutdown restarts all instances by planned shutdowns, starting one soon after the other
// so that several may be draining at a time. It waits for instances that were started or disturbed
// recently, for settleTime in total at most.
func (sr *soakRun) rollingShutdown() {
	first, gap := sr.drawInt(len(sr.insts)), sr.drawDuration(minGap, maxGap/2)
	until := time.Now().Add(settleTime)
	var wgr sync.WaitGroup
	for i := range sr.insts {
		ins := sr.insts[(first+i)%len(sr.insts)]
		for !ins.steady(time.Now()) && time.Now().Before(until) {
			time.Sleep(minGap)
		}
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			sr.restart(ins)
		}()
		time.Sleep(gap)
	}
	wgr.Wait()
}

// restart shuts an instance down as planned and starts it again.
func (sr *soakRun) restart(ins *instance) {
	steady := ins.steady(time.Now())
	signaledAt := time.Now()
	ins.signal(syscall.SIGTERM)
	ins.awaitEnd(ins.shutdownTimeout+time.Second, func() {
		// awaitEnd calls this before the kill, which counts as a disturbance.
		ins.mtx.Lock()
		steady = steady && ins.disturbedUntil.Before(signaledAt) && ins.startedAt.Before(signaledAt)
		ins.mtx.Unlock()
		if steady {
			sr.violation("shutdown: %s took longer than %v for a planned shutdown", ins.name, ins.shutdownTimeout)
		}
	})
	sr.startInstance(ins)
}

func (sr *soakRun) freezeInstance() {
	ins := sr.drawInstance()
	ins.signal(syscall.SIGSTOP)
	time.Sleep(sr.drawFaultDuration())
	ins.signal(syscall.SIGCONT)
}

// reloadSettings has an instance reload its settings, in half of the cases after reloading an
// invalid file. Neither may have an effect.
func (sr *soakRun) reloadSettings() {
	ins := sr.drawInstance()
	text, err := os.ReadFile(ins.settingsPath)
	if err != nil {
		sr.violation("settings: %v", err)
		return
	}
	if sr.drawInt(2) == 0 && !strings.HasPrefix(string(text), "nonsense") {
		ins.corruptSettings(text, minGap)
	}
	ins.signal(syscall.SIGHUP)
}

func (sr *soakRun) storeFault() {
	span := sr.drawFaultDuration()
	sr.markAllDisturbed(time.Now().Add(span))
	sr.store.SetMode([]fake.Mode{fake.Busy, fake.Silent, fake.Lossy, fake.Slow}[sr.drawInt(4)])
	time.Sleep(span)
	sr.store.SetMode(fake.Healthy)
	sr.markAllDisturbed(time.Now())
}

// disturbProxy applies a drawn fault to a proxy for a while.
func (sr *soakRun) disturbProxy(prx *tcpProxy, span time.Duration) {
	switch choice := sr.drawInt(6); choice {
	case 0:
		prx.reset()
	case 1:
		prx.blackhole()
	default:
		prx.set([]proxyState{stateDelay, stateBlockReplies, stateBlockRequests, stateBlockBoth}[choice-2])
	}
	time.Sleep(span)
	prx.set(stateForward)
}

func (sr *soakRun) storeProxyFault() {
	ins, span := sr.drawInstance(), sr.drawFaultDuration()
	ins.markDisturbed(time.Now().Add(span))
	sr.disturbProxy(ins.storeProxy, span)
	ins.markDisturbed(time.Now())
}

func (sr *soakRun) frontProxyFault() {
	ins, span := sr.drawInstance(), sr.drawFaultDuration()/2
	ins.markDisturbed(time.Now().Add(span))
	sr.disturbProxy(ins.frontProxy, span)
	ins.markDisturbed(time.Now())
}

// peerProxyFault disturbs the datagrams that all others send to an instance, and the replies to
// these, for a while. The other instances count as steady: they must work without it.
func (sr *soakRun) peerProxyFault() {
	ins, span := sr.drawInstance(), sr.drawFaultDuration()
	ins.markDisturbed(time.Now().Add(span))
	ins.peerProxy.set([]proxyState{stateDelay, stateBlockReplies, stateBlockRequests, stateBlockBoth, stateDropSome}[sr.drawInt(5)])
	time.Sleep(span)
	ins.peerProxy.set(stateForward)
	ins.markDisturbed(time.Now())
}

// drawEndpoint draws a serving endpoint; nil if its pool has no more than reserve of them.
func (sr *soakRun) drawEndpoint(reserve int) *endpoint {
	list := sr.servingEndpoints(poolNames[sr.drawInt(len(poolNames))])
	if len(list) <= reserve {
		return nil
	}
	return list[sr.drawInt(len(list))]
}

func (sr *soakRun) markEndpointDisturbed(ep *endpoint, until time.Time) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	ep.disturbedUntil = laterOf(ep.disturbedUntil, until)
}

func (sr *soakRun) endpointProxyFault() {
	ep, span := sr.drawEndpoint(0), sr.drawFaultDuration()
	if ep == nil {
		return
	}
	sr.markEndpointDisturbed(ep, time.Now().Add(span))
	sr.disturbProxy(ep.proxy, span)
	sr.markEndpointDisturbed(ep, time.Now())
}

func (sr *soakRun) endpointFaults() {
	ep := sr.drawEndpoint(0)
	if ep == nil {
		return
	}
	all := []fake.Fault{fake.Shed, fake.Fails, fake.Cuts, fake.CutsMidway, fake.Foreign, fake.Unsigned, fake.Hangs}
	for range 2 + sr.drawInt(4) {
		ep.QueueFaults(all[sr.drawInt(len(all))])
	}
}

// endpointCrash ends an endpoint without notice and starts another one. The entry of the crashed
// one expires later.
func (sr *soakRun) endpointCrash() {
	ep := sr.drawEndpoint(1)
	if ep == nil {
		return
	}
	sr.mtx.Lock()
	ep.gone = true
	sr.mtx.Unlock()
	ep.srv.Close()
	ep.proxy.reset()
	sr.addEndpoint(ep.pool)
	time.Sleep(entryExpiry)
	sr.store.RemoveEndpoint(ep.ID())
}

// endpointDrain starts another endpoint, marks the entry of one as leaving and stops it after
// drainTime.
func (sr *soakRun) endpointDrain() {
	ep := sr.drawEndpoint(1)
	if ep == nil {
		return
	}
	sr.addEndpoint(ep.pool)
	sr.drain(ep)
}

// drain marks the entry of an endpoint as leaving, and stops it after drainTime.
func (sr *soakRun) drain(ep *endpoint) {
	sr.store.PutEndpoint(ep.ID(), fake.EntryOf(ep.pool, ep.proxy.addr(), ep.build, true))
	sr.mtx.Lock()
	ep.drainedAt = time.Now()
	sr.mtx.Unlock()
	time.Sleep(drainTime)
	sr.store.RemoveEndpoint(ep.ID())
	sr.mtx.Lock()
	ep.gone = true
	sr.mtx.Unlock()
	ep.srv.Close()
}

// heal ends all faults and starts the instances that are down.
func (sr *soakRun) heal() {
	sr.store.SetMode(fake.Healthy)
	for _, ins := range sr.insts {
		ins.storeProxy.set(stateForward)
		ins.frontProxy.set(stateForward)
		ins.peerProxy.set(stateForward)
		ins.signal(syscall.SIGCONT)
		ins.healPartition()
		if _, _, stopping := ins.processState(); stopping {
			ins.awaitEnd(ins.shutdownTimeout+time.Second, ignoreTimeout)
		}
		sr.startInstance(ins)
	}
	for _, ep := range sr.eps {
		ep.proxy.set(stateForward)
		ep.ClearFaults()
		ep.SetFlood(fake.NoFlood, 0)
	}
}
