package node

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

// addBuild starts an engine of a build.
func (tbd *testbed) addBuild(id, build string) *fake.Endpoint {
	ep := fake.NewEndpoint(id)
	ep.SetBuild(build)
	srv, err := stand.Serve("127.0.0.1:0", ep.Handler())
	expect(err).NotTo(anything())
	ep.SetAddr(srv.Addr())
	tbd.servers[id] = srv
	tbd.store.PutEndpoint(id, fake.EntryOf("engines", srv.Addr(), build, false))
	return ep
}

// useBuilds replaces the engines by others, one for each build of the list, and waits until all instances
// know them.
func (tbd *testbed) useBuilds(builds ...string) {
	old := tbd.engines
	tbd.engines = nil
	for i, build := range builds {
		tbd.engines = append(tbd.engines, tbd.addBuild(fmt.Sprintf("engine-%s-%d", build, i), build))
	}
	for _, ep := range old {
		tbd.store.RemoveEndpoint(ep.ID())
	}
	for _, nod := range tbd.nodes {
		eventually(func() int {
			count := 0
			for _, ep := range nod.ctl.View().Endpoints() {
				if ep.Pool == "engines" && !ep.Leaving {
					count++
				}
			}
			return count
		}, pollTimeout).Should(equal(len(builds)))
	}
}

// stream is a stream as its caller sees it, over its tries.
type stream struct {
	// first is the attempt that brought the first event, empty for none yet.
	first  string
	last   string
	events strings.Builder
	whole  bool
	// resumed counts the tries that were to resume the stream, goesOn those of them that brought an event.
	resumed, goesOn int
}

// try sends a request for a stream, or for what follows the events so far. It returns the status, zero for
// none.
func (stm *stream) try(ctx context.Context, addr, path, id string, more map[string]string) int {
	headers := map[string]string{}
	if stm.first != "" {
		stm.resumed++
		headers = map[string]string{fake.HeaderLastEvent: stm.last, fake.HeaderResumes: stm.first}
	}
	for name, val := range more {
		headers[name] = val
	}
	req, err := fake.Request(http.MethodPost, addr, path, host, id, deadline, key, "a stream", headers)
	expect(err).NotTo(anything())
	req.GetBody = nil
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode
	}
	scn, event, begun := bufio.NewScanner(res.Body), "", stm.first != ""
	for scn.Scan() {
		event += scn.Text() + "\n"
		if scn.Text() != "" {
			continue
		}
		if stm.first == "" {
			stm.first = id
		}
		if begun {
			stm.goesOn++
			begun = false
		}
		stm.last, _, _ = strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		stm.events.WriteString(event)
		event = ""
	}
	stm.whole = scn.Err() == nil
	return res.StatusCode
}

// builds returns the builds of the stream's events.
func (stm *stream) builds() []string {
	list := fake.Builds(stm.events.String())
	slices.Sort(list)
	return slices.Compact(list)
}

// streams runs streams of callers and counts them.
type streams struct {
	mtx   sync.Mutex
	count int
	// mixed has the streams with events of several builds.
	mixed []string
	// begun counts the new streams of whose first tries that began, resumed and goesOn those that callers
	// take up again, and those of them that go on.
	fresh, begun, resumed, goesOn int
}

// String describes the streams.
func (sts *streams) String() string {
	return fmt.Sprintf("%d of %d new streams begin, %d of %d resumed ones go on, %d hold events of several builds: %v",
		sts.begun, sts.fresh, sts.goesOn, sts.resumed, len(sts.mixed), sts.mixed)
}

// maxTries is how often callers try a stream.
const maxTries = 4

// run runs one stream to its end, or until its caller gives up. Each try is sent to one of the given
// instances.
func (sts *streams) run(ctx context.Context, tbd *testbed, nodes func() []int) {
	stm := &stream{}
	sts.mtx.Lock()
	sts.count++
	name := fmt.Sprintf("s%d", sts.count)
	sts.mtx.Unlock()
	for i := range maxTries {
		list := nodes()
		node := list[rand.IntN(len(list))]
		before := stm.first
		stm.try(ctx, tbd.nodes[node].set.CallerAddr(), "/stream/x?"+name, fmt.Sprintf("%s-%d", name, i), nil)
		if i == 0 {
			sts.mtx.Lock()
			sts.fresh++
			if before == "" && stm.first != "" {
				sts.begun++
			}
			sts.mtx.Unlock()
		}
		if stm.whole || ctx.Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	sts.mtx.Lock()
	defer sts.mtx.Unlock()
	sts.resumed, sts.goesOn = sts.resumed+stm.resumed, sts.goesOn+stm.goesOn
	if builds := stm.builds(); len(builds) > 1 {
		sts.mixed = append(sts.mixed, fmt.Sprint(name, " ", builds))
	}
}

// load begins streams at an even rate until the context ends, and waits for all of them.
func (sts *streams) load(ctx context.Context, tbd *testbed, perSecond int, nodes func() []int) {
	var grp sync.WaitGroup
	defer grp.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Second / time.Duration(perSecond))
		grp.Go(func() { sts.run(context.Background(), tbd, nodes) })
	}
}

var _ = ginkgo.Describe("a stream while endpoints of several builds serve", func() {
	// Guards against a stream that the instance resumes at another build within one answer.
	ginkgo.It("is resumed at its build alone within one answer", func() {
		tbd := newTestbed(2)
		tbd.useBuilds("v1", "v1", "v1.1", "v1.1")
		for _, ep := range tbd.engines {
			ep.Duration = 10 * time.Millisecond
			for range 30 {
				ep.QueueFaults(fake.CutsMidway, fake.None)
			}
		}
		sts := &streams{}
		for range 60 {
			sts.run(context.Background(), tbd, func() []int { return []int{0, 1} })
		}
		ginkgo.GinkgoLogr.Info(sts.String())
		expect(sts.mixed).To(gomega.BeEmpty())
		expect(sts.begun).To(equal(sts.fresh))
	})

	// Guards against a stream that goes on at another build when its caller takes it up at another instance.
	ginkgo.It("is taken up at its build alone at any instance", func() {
		tbd := newTokenTestbed(4, clock.Minute)
		tbd.useBuilds("v1", "v1", "v1.1", "v1.1", "v2", "v2")
		for _, ep := range tbd.engines {
			ep.Duration = 200 * time.Millisecond
		}
		var mtx sync.Mutex
		alive := []int{0, 1, 2, 3}
		nodes := func() []int {
			mtx.Lock()
			defer mtx.Unlock()
			return slices.Clone(alive)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		sts := &streams{}
		var grp sync.WaitGroup
		grp.Go(func() { sts.load(ctx, tbd, 50, nodes) })
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			nod := tbd.start()
			eventually(func() bool { return nod.ctl.View().Ready(nod.clk.Now()) }, pollTimeout).Should(gomega.BeTrue())
			mtx.Lock()
			ended := alive[0]
			alive = append(alive[1:], len(tbd.nodes)-1)
			mtx.Unlock()
			tbd.nodes[ended].Kill()
		}
		grp.Wait()
		ginkgo.GinkgoLogr.Info(sts.String())
		expect(sts.mixed).To(gomega.BeEmpty())
		expect(sts.resumed).To(gomega.BeNumerically(">=", 12))
		expect(float64(sts.goesOn) / float64(sts.resumed)).To(gomega.BeNumerically(">=", resumedShare*float64(sts.begun)/float64(sts.fresh)))
	})
})

// resumedShare times the share of new streams that begin is the least share of the resumed ones that go on.
const resumedShare = 0.95
