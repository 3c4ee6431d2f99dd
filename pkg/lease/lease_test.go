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

// TestSessions plays whole sessions of acquisitions, renewals and releases.
func TestSessions(t *testing.T) {
	golden.Run(t, "*.txtar", func(_ *testing.T, sections map[string]string) string {
		var bk Book
		var out strings.Builder
		for i, line := range golden.Lines(sections["input"]) {
			verb, vals := golden.Fields(line)
			at, _ := strconv.ParseInt(vals["at"], 10, 64)
			ent := Entry{Kind: verb, Name: "orders", Holder: ident.Incarnation(vals["holder"]), ID: fmt.Sprint(i)}
			bk.Apply([]oplog.Record{{Offset: int64(i + 1), At: clock.Milli(at), Body: ent.Encode()}})
			ten, _ := bk.Find("orders")
			fmt.Fprintf(&out, "%s -> held by %s, fence %d, until %d\n", line, ten.Holder(), ten.Fence(), ten.Until())
		}
		return out.String()
	})
}

// holder models one instance that appends for the lease and acts under it. Its
// clock may be off and it may be paused anywhere.
type holder struct {
	name   ident.Incarnation
	skew   clock.Milli
	sentID string
	sentAt clock.Milli
	grant  Grant
}

// TestOneHolderAtATime: instances append, renew, lose replies, repeat, are
// paused and read late. At no instant of true time do two of them find their
// grant valid, and the fencing number of whoever may act only grows.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []oplog.Record
		var bk Book
		now := clock.Milli(1_000_000)
		holders := make([]*holder, 3)
		for i := range holders {
			holders[i] = &holder{name: ident.Incarnation(fmt.Sprintf("i%d#1", i)), skew: clock.Milli(rapid.IntRange(-5000, 5000).Draw(t, "skew"))}
		}
		var flying []Entry
		arrive := func(ent Entry) {
			log = append(log, oplog.Record{Offset: int64(len(log) + 1), At: now, Body: ent.Encode()})
			bk.Apply(log[len(log)-1:])
		}
		last := int64(0)
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 6000).Draw(t, "passes"))
			hld := holders[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				// An append; its record comes at once, later or never.
				hld.sentID, hld.sentAt = fmt.Sprint(step), now+hld.skew
				ent := Entry{Kind: KindAcquire, Name: "orders", Holder: hld.name, ID: hld.sentID}
				flying = append(flying, ent)
				if rapid.Bool().Draw(t, "prompt") {
					arrive(ent)
				}
			case 3:
				if len(flying) > 0 {
					arrive(flying[rapid.IntRange(0, len(flying)-1).Draw(t, "which")])
				}
			default:
				ten, _ := bk.Find("orders")
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
				t.Fatalf("%d holders act at %d", valid, now)
			}
		}
	})
}

// TestPausedHolderKnows: a holder is paused from its append on. At the first
// instant at which another can acquire the lease, the first one, should it wake,
// finds its own grant over, and so for the whole flight of an order before.
func TestPausedHolderKnows(t *testing.T) {
	var bk Book
	acquire := func(offset int64, who ident.Incarnation, at clock.Milli) Tenure {
		ent := Entry{Kind: KindAcquire, Name: "orders", Holder: who, ID: string(who)}
		bk.Apply([]oplog.Record{{Offset: offset, At: at, Body: ent.Encode()}})
		ten, _ := bk.Find("orders")
		return ten
	}
	first := acquire(1, "i1", 1000)
	grant := NewGrant(first.Fence(), 1000)
	at := clock.Milli(1000)
	for offset := int64(2); bk.held["orders"].Holder() == "i1"; offset++ {
		at += 100
		acquire(offset, "i2", at)
	}
	if grant.Valid(at) || grant.Valid(at-Flight) {
		t.Fatalf("at %d another holds the lease and the first believes in it until %d", at, 1000+TTL)
	}
}

func ExampleGrant_Valid() {
	gr := NewGrant(7, 1000)
	fmt.Println(gr.Valid(1000+TTL-1), gr.Valid(1000+TTL), gr.Valid(999))
	// Output: true false false
}
