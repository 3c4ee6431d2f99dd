package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/sever"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

// floodTime is the time in which a caller must be answered whose endpoints all answer without end; requests have
// rawDeadline.
const floodTime = 2 * time.Second

// stageFloodTime is the same for a request with stages.
const stageFloodTime = 5 * time.Second

// unbounded returns how many answers that exceeded a bound an instance has counted.
func (tbd *testbed) unbounded(node int) string {
	rec := httptest.NewRecorder()
	tbd.nodes[node].mtr.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
	for line := range strings.Lines(rec.Body.String()) {
		if strings.Contains(line, meter.EventUnbounded) {
			_, val, _ := strings.Cut(strings.TrimSpace(line), "} ")
			return val
		}
	}
	return ""
}

// flood lets endpoints answer without end.
func flood(list []*fake.Endpoint, fld fake.Flood, interval time.Duration) {
	for _, ep := range list {
		ep.SetFlood(fld, interval)
	}
}

// floodsOpen returns the number of answers without end that are in progress.
func (tbd *testbed) floodsOpen() int64 {
	sum := int64(0)
	for _, ep := range slices.Concat(tbd.engines, tbd.plain, tbd.stages) {
		sum += ep.FloodsOpen()
	}
	return sum
}

// playFlood sends requests on all routes with a final call while all endpoints flood, and returns what is wrong with
// what callers see.
func (tbd *testbed) playFlood(fld fake.Flood, interval time.Duration) string {
	flood(append(tbd.engines, tbd.plain...), fld, interval)
	var wrong []string
	var mtx sync.Mutex
	var grp sync.WaitGroup
	for i, path := range framingPaths {
		grp.Go(func() {
			defer ginkgo.GinkgoRecover()
			began := time.Now()
			cal := dialRaw(tbd.nodes[0].set.CallerAddr())
			defer func() { _ = cal.con.Close() }()
			id := fmt.Sprintf("flood-%d-%d-%d", fld, interval, i)
			_, _ = io.WriteString(cal.con, requestText("1.1", path, id, "body of "+id))
			ans := cal.read()
			took := time.Since(began)
			mtx.Lock()
			defer mtx.Unlock()
			if ans.claim != failed && ans.claim != broken || took > floodTime {
				wrong = append(wrong, fmt.Sprintf("flood %d each %v on %s: got %s of %d bytes after %v", fld, interval, path, ans.claim, len(ans.body), took))
			}
		})
	}
	grp.Wait()
	return strings.Join(wrong, "\n")
}

var _ = ginkgo.Describe("an answer without end", func() {
	for _, relayed := range []bool{false, true} {
		// Guards against a caller that waits beyond its deadline or takes the answer for a whole one, and against
		// connections that stay open.
		ginkgo.It(fmt.Sprintf("ends in time for its caller; relayed: %t", relayed), func() {
			for _, fld := range fake.Floods() {
				tbd, _ := newFramingTestbed(relayed)
				for _, interval := range []time.Duration{0, 10 * time.Millisecond} {
					expect(tbd.playFlood(fld, interval)).To(gomega.BeEmpty())
					eventually(tbd.floodsOpen, time.Second).Should(gomega.BeZero())
				}
				for _, nod := range tbd.nodes {
					nod.Kill()
				}
			}
		})
	}

	// Guards against an endpoint that answers without end and is not ejected, and against callers that are not served by
	// the other endpoints.
	ginkgo.It("ejects its endpoint", func() {
		for _, fld := range []fake.Flood{fake.HeadLine, fake.InterimHeads, fake.LengthBody, fake.OneEvent} {
			// Tokens are honoured for longer than a flood can keep this process, in which everything runs, from
			// confirming its documents.
			tbd := newTokenTestbed(1, clock.Minute)
			flood([]*fake.Endpoint{tbd.engines[0], tbd.plain[0], tbd.stages[0]}, fld, 0)
			for path, ep := range map[string]*fake.Endpoint{"/log/x": tbd.plain[0], "/stream/x": tbd.engines[0]} {
				served := 0
				for range 40 {
					if tbd.send(0, request{path: path, body: fmt.Sprint(time.Now().UnixNano())}).status == http.StatusOK {
						served++
					}
				}
				ginkgo.GinkgoWriter.Printf("flood %d on %s: served %d of 40, %d reached the endpoint\n", fld, path, served, ep.Flooded())
				expect(ep.Flooded()).To(gomega.BeNumerically("<", 15), "flood %d on %s", fld, path)
				expect(served).To(gomega.BeNumerically(">", 30), "flood %d on %s", fld, path)
			}
			expect(tbd.unbounded(0)).NotTo(gomega.Equal("0"))
		}
	})

	// Guards against stage calls, releases and queries whose answers have no end, and take memory or hold requests.
	ginkgo.It("of a stage endpoint is a failed batch", func() {
		for _, fld := range []fake.Flood{fake.BatchText, fake.ListText, fake.HeadLines, fake.ChunkedBody} {
			tbd := newTestbed(1)
			flood(tbd.stages[:1], fld, 0)
			served := 0
			for range 20 {
				rqt := stageRequest
				rqt.body += fmt.Sprint(time.Now().UnixNano())
				if tbd.send(0, rqt).status == http.StatusOK {
					served++
				}
			}
			ginkgo.GinkgoWriter.Printf("flood %d: served %d of 20, %d reached the endpoint\n", fld, served, tbd.stages[0].Flooded())
			expect(served).To(gomega.BeNumerically(">", 15))
			expect(tbd.unbounded(0)).NotTo(gomega.Equal("0"))
			flood(tbd.stages, fld, 0)
			began := time.Now()
			rqt := stageRequest
			rqt.body += "last"
			expect(tbd.send(0, rqt).status).NotTo(gomega.Equal(http.StatusOK))
			expect(time.Since(began)).To(gomega.BeNumerically("<", stageFloodTime))
			eventually(tbd.floodsOpen, 2*time.Second).Should(gomega.BeZero())
		}
	})

	// Guards against memory that grows with the answers without end that are read at once.
	ginkgo.It("takes no memory", func() {
		tbd := newTestbed(1)
		flood(append(tbd.engines, tbd.plain...), fake.CloseBody, 0)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var grp sync.WaitGroup
		before, peak := heapBytes(), int64(0)
		for i := range 10 {
			path := framingPaths[i%len(framingPaths)]
			grp.Go(func() {
				req, err := fake.Request(http.MethodPost, tbd.nodes[0].set.CallerAddr(), path, host, fmt.Sprintf("memory-%d", i), deadline, key, fmt.Sprint(i), nil)
				if err != nil {
					return
				}
				if res, err := client.Do(req.WithContext(ctx)); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			})
		}
		for ctx.Err() == nil {
			peak = max(peak, heapBytes()-before)
			time.Sleep(10 * time.Millisecond)
		}
		grp.Wait()
		ginkgo.GinkgoWriter.Printf("the heap grew by %d kB\n", peak>>10)
		expect(peak).To(gomega.BeNumerically("<", 40<<20))
	})
})

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}

const (
	// floodedEndpoints answer without end, each to as many requests as an instance sends to one at first.
	floodedEndpoints = 40
	// smallMemory is the memory of the smallest instances, in MB. Seven tenths of it are the runtime's soft limit, of which
	// controlMemory MB are for what an instance holds without requests; floodMemory bytes are left for requests.
	smallMemory, controlMemory = 144, 32
	floodMemory                = (smallMemory*7/10 - controlMemory) << 20
)

// stalledBytes is what a stalledBody sends, less than what an instance reads of a body before it passes it on.
const stalledBytes = 900 << 10

// stalledPart is shared by all answers, so that the endpoints of a test hold none of their own.
var stalledPart = make([]byte, stalledBytes)

// stalledBody is an endpoint that sends a part of each answer and nothing more.
type stalledBody struct{ served atomic.Int64 }

func (stb *stalledBody) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(fake.HeaderRequestID)
	wrt.Header().Set(fake.HeaderRequestID, id)
	wrt.Header().Set(fake.HeaderSignature, "sig-"+id)
	_, _ = wrt.Write(stalledPart)
	_ = http.NewResponseController(wrt).Flush()
	stb.served.Add(1)
	<-req.Context().Done()
}

// addFlooded replaces the endpoints of bookings by others that answer without end, or stall for no flood. It returns a function
// that counts these answers.
func (tbd *testbed) addFlooded(fld fake.Flood) (count func() int64) {
	var bad []*fake.Endpoint
	var names []string
	stb := &stalledBody{}
	for i := range floodedEndpoints {
		names = append(names, fmt.Sprint("bad-", i))
		if fld != fake.NoFlood {
			bad = append(bad, tbd.add("bookings", names[i]))
			continue
		}
		srv, err := stand.Serve(anyAddress, stb)
		expect(err).NotTo(anything())
		tbd.cleanup(srv.Close)
		tbd.putEntry("bookings", names[i], srv.Addr(), false)
	}
	flood(bad, fld, 0)
	for _, ep := range tbd.plain {
		tbd.store.RemoveEndpoint(ep.ID())
	}
	eventually(func() bool { return tbd.lists(0, "bookings", names...) }, pollTimeout).Should(gomega.BeTrue())
	return func() int64 {
		sum := stb.served.Load()
		for _, ep := range bad {
			sum += ep.Flooded()
		}
		return sum
	}
}

var _ = ginkgo.Describe("many answers without end at once", func() {
	for _, tst := range []struct {
		flood   fake.Flood
		relayed bool
	}{{fake.CloseBody, false}, {fake.ChunkedBody, true}, {fake.NoFlood, false}} {
		// Guards against an instance that runs out of memory, since each answer has a bound and all together have none:
		// callers that read slowly, and endpoints that stall, have it hold what was read.
		ginkgo.It(fmt.Sprintf("take no more memory than a bound, and other callers are served; flood %d, relayed: %t", tst.flood, tst.relayed), func() {
			tbd := setUp(&testbed{
				shutdownTimeout: 8 * clock.Second, tokenMaxViewAge: clock.Minute, moreSettings: fmt.Sprintf("memory_mb = %d\n", smallMemory),
				cleanup: func(work func()) { ginkgo.DeferCleanup(work) },
			}, 0)
			prts := tbd.startPartitioned(2)
			if tst.relayed {
				prts[0].Set(sever.Refuses, sever.Open)
			}
			flooded := tbd.addFlooded(tst.flood)
			before, peak := heapBytes(), int64(0)
			for i := range floodedEndpoints * initialSlots {
				cal := dialRaw(tbd.nodes[0].set.CallerAddr())
				ginkgo.DeferCleanup(cal.con.Close)
				_, _ = io.WriteString(cal.con, requestText("1.1", "/booking/x", fmt.Sprintf("slow-%d-%d", tst.flood, i), fmt.Sprint("body ", i)))
			}
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
				peak = max(peak, heapBytes()-before)
				expect(tbd.send(0, request{path: "/stream-once/x"}).status).To(equal(http.StatusOK))
			}
			ginkgo.GinkgoWriter.Printf("flood %d: the heap grew by %d kB, %d requests were answered without end\n", tst.flood, peak>>10, flooded())
			expect(flooded()).To(gomega.BeNumerically(">", floodedEndpoints))
			expect(peak).To(gomega.BeNumerically("<", floodMemory))
		})
	}
})
