package route

import (
	"math/rand/v2"
	"testing"

	"amaranthvalve/internal/golden"
)

// TestSlopes measures the memory per endpoint.
func TestSlopes(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	for _, n := range []int{31, 1000, 12000} {
		held := golden.HeapGrowth(func() any {
			pl := New("dc1", rand.New(rand.NewPCG(1, 1)))
			pl.Sync(endpoints(n))
			return pl
		})
		t.Logf("%d endpoints: %d bytes each", n, held/int64(n))
	}
}
