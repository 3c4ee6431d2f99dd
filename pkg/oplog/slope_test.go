package oplog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

// large returns a document with the given number of workspaces.
func large(service string, workspaces int) string {
	var out strings.Builder
	out.WriteString(text(service, "owner"))
	for i := range workspaces {
		fmt.Fprintf(&out, "[[workspace]]\nname = \"workspace-%d\"\nrequests_per_second = 20\nin_flight = 16\nshare = 2\n", i)
	}
	return out.String()
}

// TestSlopes measures the cost of documents of several sizes: memory, time to apply an
// offer, and text size.
func TestSlopes(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	const services = 17
	for _, workspaces := range []int{5, 100, 1100} {
		var reg Registry
		var took time.Duration
		held := golden.HeapGrowth(func() any {
			for i := range services {
				service := fmt.Sprintf("service-%d", i)
				ent := Entry{Kind: KindOffer, ID: service, Service: service, Text: large(service, workspaces)}
				began := time.Now()
				reg.Apply([]Record{{Offset: int64(i + 1), At: clock.Milli(i), Body: ent.Encode()}})
				took += time.Since(began)
			}
			return &reg
		})
		bytes := len(large("service-1", workspaces))
		t.Logf("%d services with %d workspaces: text %d bytes each, held %d bytes each, applied in %v each",
			services, workspaces, bytes, held/services, took/services)
	}
}
