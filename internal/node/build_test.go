package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
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
	var names []string
	for i, build := range builds {
		names = append(names, fmt.Sprintf("engine-%s-%d", build, i))
		tbd.engines = append(tbd.engines, tbd.addBuild(names[i], build))
	}
	for _, ep := range old {
		tbd.store.RemoveEndpoint(ep.ID())
	}
	for _, nod := range tbd.nodes {
		eventually(func() []string {
			var ids []string
			for _, ep := range nod.ctl.View().Endpoints() {
				if ep.Pool == "engines" && !ep.Leaving {
					ids = append(ids, string(ep.ID))
				}
			}
			return ids
		}, pollTimeout).Should(gomega.ConsistOf(names))
	}
}

// sharedRecord is the key of the record that the instances share in the store.
const sharedRecord = "kept"

// stream is a stream as its caller sees it, over its tries.
type stream struct {
	// first is the attempt that brought the first event, empty for none yet.
	first  string
	last   string
	events strings.Builder
	whole  bool
	// resumed is set once a try that was to resume the stream got an answer, goesOn once one has resumed it.
	resumed, goesOn bool
	refusals        []string
}

// try sends a request for a stream, or for what follows the events so far. It returns the status, zero for
// none.
func (stm *stream) try(ctx context.Context, addr, path, id string, more map[string]string) int {
	headers := map[string]string{}
	if stm.first != "" {
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
	if stm.first != "" {
		stm.resumed = true
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		stm.refusals = append(stm.refusals, string(text))
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
			stm.goesOn, begun = true, false
		}
		stm.last, _, _ = strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		stm.events.WriteString(event)
		event = ""
	}
	stm.whole = scn.Err() == nil
	if stm.whole && begun {
		// Only the end was missing.
		stm.goesOn = true
	}
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
	refusals                      []string
}

// String describes the streams.
func (sts *streams) String() string {
	return fmt.Sprintf("%d of %d new streams begin, %d of %d resumed ones go on, %d hold events of several builds: %v; %v",
		sts.begun, sts.fresh, sts.goesOn, sts.resumed, len(sts.mixed), sts.mixed, sts.refusals)
}

// maxTries is how often callers try a stream.
const maxTries = 4

// run runs one stream to its end, or until its caller gives up. Each try is sent to one of the given
// addresses.
func (sts *streams) run(ctx context.Context, addrs func() []string) {
	stm := &stream{}
	sts.mtx.Lock()
	sts.count++
	name := fmt.Sprintf("s%d", sts.count)
	sts.mtx.Unlock()
	for i := range maxTries {
		list := addrs()
		before := stm.first
		stm.try(ctx, list[rand.IntN(len(list))], "/stream/x?"+name, fmt.Sprintf("%s-%d", name, i), nil)
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
	if stm.resumed {
		sts.resumed++
	}
	if stm.goesOn {
		sts.goesOn++
	}
	sts.refusals = append(sts.refusals, stm.refusals...)
	if builds := stm.builds(); len(builds) > 1 {
		sts.mixed = append(sts.mixed, fmt.Sprint(name, " ", builds))
	}
}

// load begins streams at an even rate until the context ends, and waits for all of them.
func (sts *streams) load(ctx context.Context, perSecond int, addrs func() []string) {
	var grp sync.WaitGroup
	defer grp.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Second / time.Duration(perSecond))
		grp.Go(func() { sts.run(context.Background(), addrs) })
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
		sts, all := &streams{}, tbd.running()
		for range 60 {
			sts.run(context.Background(), all.addrs)
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
		all := tbd.running()
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		sts := &streams{}
		var grp sync.WaitGroup
		grp.Go(func() { sts.load(ctx, 100, all.addrs) })
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			all.replaceFirst(tbd)
		}
		grp.Wait()
		ginkgo.GinkgoLogr.Info(sts.String())
		expect(sts.mixed).To(gomega.BeEmpty())
		expect(sts.resumed).To(gomega.BeNumerically(">=", 12))
		expect(float64(sts.goesOn) / float64(sts.resumed)).To(gomega.BeNumerically(">=", resumedShare*float64(sts.begun)/float64(sts.fresh)))
	})
})

// begin begins a stream at an instance and disconnects after its first event. It returns the build of that.
func (tbd *testbed) begin(node int, id string) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := fake.Request(http.MethodPost, tbd.nodes[node].set.CallerAddr(), "/stream/x", host, id, deadline, key, "a stream", nil)
	expect(err).NotTo(anything())
	res, err := client.Do(req.WithContext(ctx))
	expect(err).NotTo(anything())
	defer func() { _ = res.Body.Close() }()
	text, event := make([]byte, 256), ""
	for !strings.Contains(event, "\n\n") {
		n, err := res.Body.Read(text)
		expect(err).NotTo(anything())
		event += string(text[:n])
	}
	return fake.Builds(event)[0]
}

// resume sends a request that resumes a stream after its first event.
func (tbd *testbed) resume(node int, id string, headers ...string) response {
	more := map[string]string{fake.HeaderLastEvent: "1"}
	for i := 0; i < len(headers); i += 2 {
		more[headers[i]] = headers[i+1]
	}
	return tbd.send(node, request{path: "/stream/x", id: id, body: "a stream", header: more})
}

// hasRun reports whether any engine has run a request.
func (tbd *testbed) hasRun(id string) bool {
	return slices.ContainsFunc(runs(tbd.engines), func(run fake.Run) bool { return run.ID == id })
}

var _ = ginkgo.Describe("a request that resumes a stream", func() {
	const otherKey = "key-of-shiretoko"
	newBuilds := func(builds ...string) *testbed {
		tbd := newTestbed(2)
		tbd.publish(func(doc *fake.Document) { doc.Others = map[string]string{"shiretoko": otherKey} })
		tbd.useBuilds(builds...)
		for _, ep := range tbd.engines {
			ep.Duration = 20 * time.Millisecond
		}
		return tbd
	}
	refused := func(tbd *testbed, rsp response, id, reason string) {
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.body).To(gomega.ContainSubstring(reason))
		expect(rsp.header.Get("Retry-After")).To(gomega.BeEmpty())
		expect(tbd.hasRun(id)).To(gomega.BeFalse())
	}

	// Guards against a stream that goes on although nothing proves at which build it began.
	ginkgo.It("is refused and not run if it names an attempt that began no stream", func() {
		tbd := newBuilds("v1", "v1.1")
		for node := range tbd.nodes {
			id := fmt.Sprint("resumes-", node)
			refused(tbd, tbd.resume(node, id, fake.HeaderResumes, "never-sent"), id, "build_unknown")
		}
	})

	// Guards against a workspace that goes on with, or learns of, the stream of another one.
	ginkgo.It("is refused if it names an attempt of another workspace", func() {
		tbd := newBuilds("v1", "v1.1")
		tbd.begin(0, "theirs")
		for node := range tbd.nodes {
			id := fmt.Sprint("foreign-", node)
			rsp := tbd.resume(node, id, fake.HeaderResumes, "theirs", fake.HeaderAuthorize, fake.Bearer+otherKey)
			refused(tbd, rsp, id, "build_unknown")
		}
		expect(tbd.resume(1, "own", fake.HeaderResumes, "theirs").status).To(equal(http.StatusOK))
	})

	// Guards against a stream that is begun again in its middle, or waits, when its build has gone.
	ginkgo.It("is refused at once if no endpoint of its build is left", func() {
		tbd := newBuilds("v1", "v1")
		expect(tbd.begin(0, "first")).To(equal("v1"))
		tbd.useBuilds("v1.1", "v1.1")
		for node := range tbd.nodes {
			id, sent := fmt.Sprint("late-", node), time.Now()
			refused(tbd, tbd.resume(node, id, fake.HeaderResumes, "first"), id, "build_gone")
			expect(time.Since(sent)).To(gomega.BeNumerically("<", 200*time.Millisecond))
		}
	})

	// Guards against an unnamed stream that goes on at another build, and against callers that name none being
	// refused while there is but one build.
	ginkgo.It("goes on without naming an attempt only while there is one build", func() {
		tbd := newBuilds("v1", "v1")
		expect(tbd.begin(0, "first")).To(equal("v1"))
		rsp := tbd.resume(1, "second")
		expect(rsp.status).To(equal(http.StatusOK))
		expect(fake.Builds(rsp.body)).To(equal([]string{"v1", "v1", "v1"}))
		tbd.engines = append(tbd.engines, tbd.addBuild("newer", "v1.1"))
		for node, nod := range tbd.nodes {
			eventually(func() []string { return nod.pools.OtherBuilds("engines", "v1") }, pollTimeout).Should(gomega.HaveLen(1))
			id := fmt.Sprint("unnamed-", node)
			refused(tbd, tbd.resume(node, id), id, "build_unknown")
			expect(tbd.resume(node, fmt.Sprint("named-", node), fake.HeaderResumes, "first").status).To(equal(http.StatusOK))
		}
	})

	// Guards against a stream that is joined from two builds after the loss of all instances: nobody knows at which build
	// it began, but the same request has begun again since, at the build that is left.
	ginkgo.It("is refused without naming an attempt if another build served before all instances were lost", func() {
		tbd := newBuilds("v1", "v1")
		expect(tbd.begin(0, "first")).To(equal("v1"))
		eventually(tbd.store.Instances, pollTimeout).Should(gomega.ContainElement(sharedRecord))
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		tbd.nodes = nil
		for i := range tbd.engines {
			tbd.store.RemoveEndpoint(tbd.engines[i].ID())
		}
		tbd.engines = []*fake.Endpoint{tbd.addBuild("newer-0", "v2"), tbd.addBuild("newer-1", "v2")}
		for range 2 {
			tbd.start()
		}
		tbd.waitJoined()
		for node := range tbd.nodes {
			eventually(func() int { return tbd.send(node, request{path: "/stream/x", body: "a stream"}).status }, pollTimeout).Should(equal(http.StatusOK))
			id := fmt.Sprint("older-", node)
			refused(tbd, tbd.resume(node, id), id, "build_unknown")
			named := fmt.Sprint("named-", node)
			refused(tbd, tbd.resume(node, named, fake.HeaderResumes, "first"), named, "build_unknown")
		}
	})

	// Guards against a request without Last-Event-Id that begins a named stream anew at another build.
	ginkgo.It("is bound by the attempt that it names also without an event", func() {
		tbd := newBuilds("v1", "v1.1", "v1.2")
		build := tbd.begin(0, "first")
		for i := range 8 {
			rsp := tbd.send(i%2, request{path: "/stream/x", body: "a stream", header: map[string]string{fake.HeaderResumes: "first"}})
			expect(rsp.status).To(equal(http.StatusOK))
			expect(slices.Compact(fake.Builds(rsp.body))).To(equal([]string{build}))
		}
	})

	// Guards against attempts that are named in ways that could be read in two ways.
	ginkgo.It("is a bad request if it names no attempt, itself or two", func() {
		tbd := newBuilds("v1", "v1.1")
		tbd.begin(0, "first")
		for _, headers := range [][]string{
			{fake.HeaderResumes, " "}, {fake.HeaderResumes, "itself"}, {fake.HeaderResumes, "first", fake.HeaderResumesLong, "first"},
		} {
			rsp := tbd.resume(0, "itself", headers...)
			expect(rsp.status).To(equal(http.StatusBadRequest), "%v", headers)
			expect(rsp.body).To(gomega.ContainSubstring("Resumes"))
		}
		expect(tbd.hasRun("itself")).To(gomega.BeFalse())
		expect(tbd.resume(1, "other-spelling", fake.HeaderResumesLong, "first").status).To(equal(http.StatusOK))
	})

	// Guards against a stream that goes on at a process whose entry has changed its build since it was chosen.
	ginkgo.It("is withheld from an endpoint whose entry names another build by then", func() {
		tbd := newTestbed(0)
		var held atomic.Bool
		chosen, proceed := make(chan string, 9), make(chan struct{})
		tbd.startWithLink(func(nod *Node) {
			direct := dial.Direct(dial.EndpointSilence)
			nod.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
				if held.CompareAndSwap(true, false) {
					chosen <- addr
					<-proceed
				}
				return direct.DialContext(ctx, network, addr)
			})
		})
		tbd.waitJoined()
		tbd.useBuilds("v1")
		tbd.engines[0].Duration = 20 * time.Millisecond
		tbd.begin(0, "first")
		held.Store(true)
		done := make(chan response, 1)
		go func() { done <- tbd.resume(0, "second", fake.HeaderResumes, "first") }()
		eventually(chosen, pollTimeout).Should(gomega.Receive())
		ep := tbd.engines[0]
		tbd.store.PutEndpoint(ep.ID(), fake.EntryOf("engines", tbd.servers[ep.ID()].Addr(), "v2", false))
		eventually(func() bool { return tbd.nodes[0].pools.HasBuild("engines", "v2") }, pollTimeout).Should(gomega.BeTrue())
		close(proceed)
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(tbd.hasRun("second")).To(gomega.BeFalse())
	})
})

// resumedShare times the share of new streams that begin is the least share of the resumed ones that go on.
const resumedShare = 0.95
