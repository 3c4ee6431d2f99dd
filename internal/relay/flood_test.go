package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform"
	"amaranthvalve/platform/fake"
)

// testBody bounds bodies in these tests, so that they are short.
const testBody = 24 << 20

// readFlood sends a request to a flooder, and reads the answer as the front does. It returns the error that ended it.
func readFlood(ctx context.Context, addr string, fld fake.Flood) (ending.Ending, error) {
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	rel.maxBody = testBody
	rqs := Request{ID: "one", Method: "POST", Host: "x", Target: "/", Header: http.Header{fake.HeaderRequestID: {"one"}}, Body: []byte("body")}
	rsp, end, err := rel.Do(ctx, addr, rqs, proto.SendMeta{Remaining: 1000})
	if rsp == nil {
		return end, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if fld == fake.OneEvent || fld == fake.CommentLines {
		evr := NewEventReader(rsp.Body)
		for err == nil {
			_, err = evr.Next()
		}
		return end, err
	}
	_, err = io.Copy(io.Discard, rsp.Body)
	return end, err
}

// Guards against an answer without end that takes memory without bound, keeps its connection, or ends with an error that
// doesn't name what was exceeded. Ten of each kind are read at a time.
func TestFloodEndsAtBound(t *testing.T) {
	for _, fld := range fake.Floods() {
		t.Run(fmt.Sprint(fld), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			fdr, err := fake.ServeFlood(fld, 0)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			defer fdr.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			peak := heapPeak(func() {
				var grp sync.WaitGroup
				for range 10 {
					grp.Go(func() {
						end, err := readFlood(ctx, fdr.Addr(), fld)
						// On a busy machine a connection may not be made in time.
						for end == ending.NothingSent && ctx.Err() == nil {
							end, err = readFlood(ctx, fdr.Addr(), fld)
						}
						gom.Expect(bounds.Exceeded(err)).To(gomega.BeTrue(), "%v", err)
						gom.Expect(end == ending.Cut || !fld.InHead()).To(gomega.BeTrue(), "%v", end)
					})
				}
				grp.Wait()
			})
			t.Logf("flood %d: the heap grew by %d kB, %d kB were sent", fld, peak>>10, fdr.Sent()>>10)
			gom.Expect(peak).To(gomega.BeNumerically("<", 20<<20))
			gom.Eventually(fdr.Open, time.Second).Should(gomega.BeZero())
		})
	}
}

// Guards against an answer that comes byte by byte without end and holds its call: a head until the deadline, and
// without counting against its endpoint.
func TestTrickleEndsInTime(t *testing.T) {
	for _, fld := range fake.Floods() {
		t.Run(fmt.Sprint(fld), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			fdr, err := fake.ServeFlood(fld, 20*time.Millisecond)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			defer fdr.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			end, err := readFlood(ctx, fdr.Addr(), fld)
			gom.Expect(err).To(gomega.HaveOccurred())
			gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 6*time.Second))
			if fld.InHead() && fld != fake.InterimHeads {
				gom.Expect(end).To(gomega.Equal(ending.Cut))
				gom.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("the head of the answer is not complete after")))
				gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", headTime+time.Second))
			}
			gom.Eventually(fdr.Open, time.Second).Should(gomega.BeZero())
		})
	}
}

// Guards against a head that trickles until the deadline of its call and counts as one that was given up.
func TestHeadBegunAtDeadlineIsCut(t *testing.T) {
	gom := gomega.NewWithT(t)
	fdr, err := fake.ServeFlood(fake.HeadLines, 20*time.Millisecond)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer fdr.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	end, err := readFlood(ctx, fdr.Addr(), fake.HeadLines)
	gom.Expect(end).To(gomega.Equal(ending.Cut))
	gom.Expect(bounds.Exceeded(err)).To(gomega.BeTrue())
}

// Guards against bounds that break off a sound answer: interim heads, a large head, a large event, and a large body.
func TestLargeAnswersPass(t *testing.T) {
	gom := gomega.NewWithT(t)
	body := make([]byte, testBody)
	event := append(append([]byte("data: "), make([]byte, maxEventBytes-100)...), "\n\n"...)
	srv := http.Server{Handler: http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		for range maxInterim / 2 {
			wrt.WriteHeader(http.StatusEarlyHints)
		}
		wrt.Header().Set(fake.HeaderRequestID, "one")
		wrt.Header().Set(fake.HeaderSignature, "s")
		wrt.Header().Set("X-Large", fmt.Sprintf("%050000d", 1))
		if req.URL.Path == "/event" {
			_, _ = wrt.Write(event)
			return
		}
		_, _ = wrt.Write(body)
	})}
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = srv.Serve(lsn) }()
	defer func() { _ = srv.Close() }()
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	rel.maxBody = testBody
	for _, path := range []string{"/", "/event"} {
		rqs := Request{ID: "one", Method: "POST", Host: "x", Target: path, Header: http.Header{fake.HeaderRequestID: {"one"}}, Body: []byte("body")}
		rsp, end, err := rel.Do(t.Context(), lsn.Addr().String(), rqs, proto.SendMeta{Remaining: 1000})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(end).To(gomega.Equal(ending.Answered))
		if path == "/event" {
			got, err := NewEventReader(rsp.Body).Next()
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			gom.Expect(got).To(gomega.HaveLen(len(event)))
		} else {
			n, err := io.Copy(io.Discard, rsp.Body)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			gom.Expect(n).To(gomega.BeEquivalentTo(testBody))
		}
		_ = rsp.Body.Close()
	}
}

// heapPeak returns by how many bytes the heap grew at most while work ran.
func heapPeak(work func()) int64 {
	heap := func() int64 {
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return int64(mem.HeapAlloc)
	}
	before, peak := heap(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		peak = max(peak, heap()-before)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Guards against an answer that is passed on although it claims a length beyond any bound: its caller could only be cut
// off then.
func TestEndlessLengthIsNoAnswer(t *testing.T) {
	gom := gomega.NewWithT(t)
	fdr, err := fake.ServeFlood(fake.LengthBody, 0)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer fdr.Close()
	rel := New(platform.Dialect(), dial.Direct(dial.EndpointSilence).DialContext, nil)
	rsp, end, err := rel.Do(t.Context(), fdr.Addr(), Request{ID: "one", Method: "POST", Host: "x", Target: "/", Header: http.Header{fake.HeaderRequestID: {"one"}}}, proto.SendMeta{Remaining: 1000})
	gom.Expect(rsp).To(gomega.BeNil())
	gom.Expect(end).To(gomega.Equal(ending.Cut))
	gom.Expect(err).To(gomega.MatchError("the body of the answer exceeds 268435456 bytes"))
}
