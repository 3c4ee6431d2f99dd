package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/oplog"
)

// TestSlopes measures the cost of a key: memory and time per record.
func TestSlopes(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	for _, keys := range []int{10_000, 100_000} {
		var ldg Ledger
		recs := make([]oplog.Record, 0, 2*keys)
		size := 0
		for i := range keys {
			key := FullKey("workspace-17", "booking", fmt.Sprintf("possession-%08d", i))
			ent := Entry{Kind: KindClaim, Key: key, Attempt: fmt.Sprintf("%032x", i), Holder: "10.20.1.11:7300#0123456789abcdef", Digest: fmt.Sprintf("%064x", i), Expires: clock.Hour}
			recs = append(recs, oplog.Record{Offset: int64(2*i + 1), At: 1, Body: ent.Encode()})
			size += len(ent.Encode())
			ent = Entry{Kind: KindSettle, Key: key, Attempt: ent.Attempt, Outcome: "done", Reason: "none", Answer: "confirmed, reference 123456789"}
			recs = append(recs, oplog.Record{Offset: int64(2*i + 2), At: 1, Body: ent.Encode()})
			size += len(ent.Encode())
		}
		began := time.Now()
		held := golden.HeapGrowth(func() any { ldg.Apply(recs); return &ldg })
		runtime.KeepAlive(recs)
		t.Logf("%d keys: %d bytes held a key, %d bytes in the log a key, %v a record", keys, held/int64(keys), size/keys, time.Since(began)/time.Duration(2*keys))
	}
}
