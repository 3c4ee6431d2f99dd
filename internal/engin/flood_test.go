package engin

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/platform/fake"
)

// Guards against an answer without end that takes memory without bound, holds its call beyond its time, or isn't counted.
func TestFloodEndsAtBound(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	calls := map[string]func(ctx context.Context, cli *Client, addr string) ending.Ending{
		"run": func(ctx context.Context, cli *Client, addr string) ending.Ending {
			_, _, end := cli.Run(ctx, addr, wire.Run{Attempt: "a"})
			return end
		},
		"generate": func(ctx context.Context, cli *Client, addr string) ending.Ending {
			_, _, _, end := cli.Generate(ctx, addr, wire.Run{Attempt: "a"}, func(wire.Token) error { return nil })
			return end
		},
		"load": func(ctx context.Context, cli *Client, addr string) ending.Ending {
			if _, ok := cli.Load(ctx, addr); ok {
				return ending.Answered
			}
			return ending.Cut
		},
	}
	for name, call := range calls {
		for _, fld := range fake.Floods() {
			for _, interval := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d, %v", name, fld, interval), func(t *testing.T) {
					gom := gomega.NewWithT(t)
					fdr, err := fake.ServeFlood(fld, interval)
					gom.Expect(err).NotTo(gomega.HaveOccurred())
					defer fdr.Close()
					timeout := 10 * time.Second
					if interval > 0 {
						timeout = 200 * time.Millisecond
					}
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					var counted atomic.Int64
					cli := New()
					cli.OnUnbounded = func(addr string, err error) {
						gom.Expect(addr).To(gomega.Equal(fdr.Addr()))
						gom.Expect(bounds.Exceeded(err)).To(gomega.BeTrue())
						counted.Add(1)
					}
					began := time.Now()
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					var grp sync.WaitGroup
					for range 10 {
						grp.Go(func() {
							gom.Expect(call(ctx, cli, fdr.Addr())).NotTo(gomega.Equal(ending.Answered))
						})
					}
					grp.Wait()
					runtime.ReadMemStats(&after)
					t.Logf("%d kB were allocated, %d counted", (after.TotalAlloc-before.TotalAlloc)>>10, counted.Load())
					gom.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", 160<<20))
					gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", timeout/2+time.Second))
					if interval == 0 {
						gom.Expect(counted.Load()).To(gomega.BeEquivalentTo(10))
					}
					gom.Eventually(fdr.Open, time.Second).Should(gomega.BeZero())
				})
			}
		}
	}
}
