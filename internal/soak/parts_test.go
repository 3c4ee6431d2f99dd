package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	// partsFromKinds is the number of kinds from which on runs may have prompts with a part that crashes engines.
	partsFromKinds = 24
	partsDuration  = 16 * time.Second
	// badPause and soundPause are the mean times between prompts with and without the bad part.
	badPause   = 80 * time.Millisecond
	soundPause = 20 * time.Millisecond
	// After partCrashes engines have crashed under a part, steady instances may send prompts with it to engines
	// repeatsAllowed times at most.
	partCrashes = 5
	// minSoundPrompts is the number of sound prompts, and of other requests of their route, from which on their
	// shares are compared; of the sound ones half as many must begin.
	minSoundPrompts = 20
	soundRatio      = 0.5
	promptTokens    = "30,4"
)

// partFaults are the faults in runs with bad parts: restarts, planned shutdowns and losses of all instances.
var partFaults = []faultKind{
	{"kill", (*soakRun).killInstance},
	{"planned shutdown", (*soakRun).plannedShutdown},
	{"rolling shutdown", (*soakRun).rollingShutdown},
	{"settings", (*soakRun).reloadSettings},
	{"kill of all instances", (*soakRun).killAllInstances},
	{"proxy between instances", (*soakRun).peerProxyFault},
	{"store", (*soakRun).storeFault},
	{"endpoint crashes", (*soakRun).endpointCrash},
}

// badPart is a part of prompts that crashes each engine which begins to answer one.
type badPart struct {
	name  string
	shape fake.Shape
	from  time.Time
	until time.Time
	// bad and sound are the attempts with prompts with and without the part; they share the caller and all other parts.
	bad, sound []*attempt
	// crashes are the times at which engines crashed, each once.
	crashes []time.Time
}

// badShapes are the points at which answers end.
var badShapes = []fake.Shape{
	{Framing: fake.Chunked, Cut: fake.InHead},
	{Framing: fake.Chunked, Cut: fake.AfterHead},
	{Framing: fake.CloseDelimited, Cut: fake.AfterHead},
	{Framing: fake.CloseDelimited, Cut: fake.InsideEvent},
	{Framing: fake.CloseDelimited, Cut: fake.BetweenEvents},
	{Framing: fake.Chunked, Cut: fake.BetweenEvents},
}

// sendParts sends prompts with a bad part to drawn instances for partsDuration, no two of them alike, and sound ones beside them.
func (sr *soakRun) sendParts() {
	shp := badShapes[sr.drawInt(len(badShapes))]
	sr.mtx.Lock()
	number := len(sr.parts)
	bpt := &badPart{name: fmt.Sprintf("bad%d", number), shape: shp, from: time.Now()}
	bpt.until = bpt.from.Add(partsDuration)
	sr.parts = append(sr.parts, bpt)
	for _, ep := range sr.eps {
		sr.armPart(ep, bpt)
	}
	sr.mtx.Unlock()
	common := fmt.Sprintf("c%d:10", number)
	position := sr.drawInt(3)
	var wgr sync.WaitGroup
	send := func(parts string, pause time.Duration, list *[]*attempt, first int) {
		defer wgr.Done()
		clr := sr.newCaller(first + number)
		for i := 0; time.Now().Before(bpt.until); i++ {
			ins := sr.drawInstance()
			wgr.Add(1)
			go func() {
				defer wgr.Done()
				sender := *clr
				sender.name = fmt.Sprintf("%s-p%d", clr.name, i)
				att := &attempt{requestKind: promptKind, key: permanentKey, ins: ins, deadline: defaultDeadline, prompt: fmt.Sprintf("%s,%s-%d:10", parts, clr.name, i)}
				sender.do(att)
				sr.mtx.Lock()
				defer sr.mtx.Unlock()
				*list = append(*list, att)
			}()
			time.Sleep(sr.drawDuration(pause/2, 3*pause/2))
		}
	}
	wgr.Add(2)
	go send(strings.Join(slices.Insert([]string{common, "d:10"}, position, bpt.name+":10"), ","), badPause, &bpt.bad, 4000)
	go send(common+",d:10", soundPause, &bpt.sound, 5000)
	wgr.Wait()
}

// promptKind is the kind of the requests with prompts.
var promptKind = requestKind{route: "stream-once", method: http.MethodPost, stream: true, atMostOnce: true}

// armPart makes an engine crash on a bad part; sr.mtx is held.
func (sr *soakRun) armPart(ep *endpoint, bpt *badPart) {
	if ep.pool != "engines" || ep.gone {
		return
	}
	var once sync.Once
	ep.CrashOnPart(bpt.name, bpt.shape, func() {
		once.Do(func() {
			sr.mtx.Lock()
			bpt.crashes = append(bpt.crashes, time.Now())
			sr.mtx.Unlock()
		})
		sr.crashEndpoint(ep)
	})
}

// checkParts checks that steady instances send prompts with a part under which five engines crashed to engines three more
// times at most, and that sound prompts begin at least half as often as other requests of their route.
func (sr *soakRun) checkParts() {
	crashed := map[string]fake.Run{}
	for _, ep := range sr.eps {
		for _, run := range ep.Runs() {
			if run.Fault == fake.Crashes {
				crashed[run.ID] = run
			}
		}
	}
	for _, bpt := range sr.parts {
		if len(bpt.crashes) == 0 {
			continue
		}
		known := bpt.crashes[min(partCrashes, len(bpt.crashes))-1]
		late, reached := 0, 0
		for _, att := range bpt.bad {
			run, ran := crashed[att.id]
			if !ran {
				continue
			}
			reached++
			if len(bpt.crashes) >= partCrashes && run.At.Sub(known) > settleTime+sendSlack && att.steady {
				late++
			}
		}
		sound, begun := sr.countBegun(bpt.sound, known.Add(2*settleTime), bpt.until)
		others, othersBegun := sr.countBegun(sr.order, known.Add(2*settleTime), bpt.until)
		sr.note("part %s: %d prompts sent, %d reached engines, %d of them late; %d engines crashed; of the sound prompts later on %d of %d began, of other requests of the route %d of %d",
			bpt.name, len(bpt.bad), reached, late, len(bpt.crashes), begun, sound, othersBegun, others)
		if late > repeatsAllowed {
			sr.violation("part: %s reached %d engines, %d of them from steady instances after it had to be refused", bpt.name, reached, late)
		}
		if sound >= minSoundPrompts && others >= minSoundPrompts && float64(begun)/float64(sound) < soundRatio*float64(othersBegun)/float64(others) {
			sr.violation("part: of %d sound prompts beside %s %d began, of %d others %d", sound, bpt.name, begun, others, othersBegun)
		}
	}
}

// countBegun counts the attempts of the prompts' route at steady instances within a time, and those of them that were
// answered with success or cut off; attempts with the bad part are left out.
func (sr *soakRun) countBegun(list []*attempt, from, until time.Time) (sent, begun int) {
	for _, att := range list {
		if att.route != promptKind.route || !att.steady || att.sent.Before(from) || att.sent.After(until) || strings.Contains(att.prompt, "bad") {
			continue
		}
		sent++
		if att.runs > 0 {
			begun++
		}
	}
	return sent, begun
}
