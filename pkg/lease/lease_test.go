package lease

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
)

func TestMain(m *testing.M) { golden.Main(m) }

// TestSessions runs sequences of acquisitions, renewals and releases.
func TestSessions(t *testing.T) {
	golden.Run(t, "*.txtar", func(_ *testing.T, sections map[string]string) string {
		var tbl Table
		var out strings.Builder
		for i, line := range golden.Lines(sections["input"]) {
			verb, vals := golden.Fields(line)
			at, _ := strconv.ParseInt(vals["at"], 10, 64)
			ent := Entry{Kind: verb, Name: "orders", Holder: ident.Incarnation(vals["holder"]), ID: fmt.Sprint(i)}
			tbl.Apply([]oplog.Record{{Offset: int64(i + 1), At: clock.Milli(at), Body: ent.Encode()}})
			ten, _ := tbl.Find("orders")
			fmt.Fprintf(&out, "%s -> held by %s, fence %d, until %d\n", line, ten.Holder(), ten.Fence(), ten.Until())
		}
		return out.String()
	})
}

// holder models an instance that appends for the lease and acts under it. Its clock may be
// skewed and it may be paused at any point.
type holder struct {
	name   ident.Incarnation
	skew   clock.Milli
	sentID string
	sentAt clock.Milli
	grant  Grant
}

// TestOneHolderAtATime: instances append, renew, lose replies, repeat appends, are paused
// and read late. At no point in true time do two of them have a valid grant, and the
// fencing numbers of the successive holders only increase.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []oplog.Record
		var tbl Table
		now := clock.Milli(1_000_000)
		holders := make([]*holder, 3)
		for i := range holders {
			holders[i] = &holder{name: ident.Incarnation(fmt.Sprintf("i%d#1", i)), skew: clock.Milli(rapid.IntRange(-5000, 5000).Draw(t, "skew"))}
		}
		var inFlight []Entry
		arrive := func(ent Entry) {
			log = append(log, oplog.Record{Offset: int64(len(log) + 1), At: now, Body: ent.Encode()})
			tbl.Apply(log[len(log)-1:])
		}
		last := int64(0)
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 6000).Draw(t, "passes"))
			hld := holders[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				// An append; its record arrives immediately, later or never.
				hld.sentID, hld.sentAt = fmt.Sprint(step), now+hld.skew
				ent := Entry{Kind: KindAcquire, Name: "orders", Holder: hld.name, ID: hld.sentID}
				inFlight = append(inFlight, ent)
				if rapid.Bool().Draw(t, "prompt") {
					arrive(ent)
				}
			case 3:
				if len(inFlight) > 0 {
					arrive(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")])
				}
			default:
				ten, _ := tbl.Find("orders")
				if ten.Holder() == hld.name && ten.ID() == hld.sentID {
					hld.grant = NewGrant(ten.Fence(), hld.sentAt)
				}
			}
			valid := 0
			for _, oth := range holders {
				if oth.grant.Valid(now + oth.skew) {
					valid++
					if oth.grant.Fence() < last {
						t.Fatalf("fence fell from %d to %d", last, oth.grant.Fence())
					}
					last = oth.grant.Fence()
				}
			}
			if valid > 1 {
				t.Fatalf("%d holders have a valid grant at %d", valid, now)
			}
		}
	})
}

// TestPausedHolderLosesGrant: a holder is paused after its append. At the earliest time at
// which another instance can acquire the lease, the first holder's grant is no longer
// valid, and has not been for the time that an order may be in flight.
func TestPausedHolderLosesGrant(t *testing.T) {
	var tbl Table
	acquire := func(offset int64, who ident.Incarnation, at clock.Milli) Tenure {
		ent := Entry{Kind: KindAcquire, Name: "orders", Holder: who, ID: string(who)}
		tbl.Apply([]oplog.Record{{Offset: offset, At: at, Body: ent.Encode()}})
		ten, _ := tbl.Find("orders")
		return ten
	}
	first := acquire(1, "i1", 1000)
	grant := NewGrant(first.Fence(), 1000)
	at := clock.Milli(1000)
	for offset := int64(2); tbl.leases["orders"].Holder() == "i1"; offset++ {
		at += 100
		acquire(offset, "i2", at)
	}
	if grant.Valid(at) || grant.Valid(at-MaxOrderTime) {
		t.Fatalf("at %d another instance holds the lease and the grant of the first is valid until %d", at, 1000+TTL)
	}
}

func ExampleGrant_Valid() {
	gr := NewGrant(7, 1000)
	fmt.Println(gr.Valid(1000+TTL-1), gr.Valid(1000+TTL), gr.Valid(999))
	// Output: true false false
}
