package claim

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

// TestSessions runs sequences of log records and queries against the ledger; the wanted
// section has the state after each.
func TestSessions(t *testing.T) {
	golden.Run(t, "*.txtar", func(_ *testing.T, sections map[string]string) string {
		var ldg Ledger
		var out strings.Builder
		offset := int64(0)
		for _, line := range golden.Lines(sections["input"]) {
			verb, vals := golden.Fields(line)
			at, _ := strconv.ParseInt(vals["at"], 10, 64)
			switch verb {
			case "ask":
				qry := Query{Attempt: vals["attempt"], Digest: vals["digest"], Expires: milli(vals["expires"]), HolderLive: vals["live"] != "no"}
				move, res := Judge(ldg.Find(vals["key"]), qry, clock.Milli(at))
				fmt.Fprintf(&out, "%s -> %s %s %s\n", line, move, res.Outcome(), res.Reason())
			case "restart":
				start, _ := strconv.ParseInt(vals["start"], 10, 64)
				ldg.Restart(start, clock.Milli(at))
				offset = start - 1
			case "covers":
				fmt.Fprintf(&out, "%s -> %t\n", line, ldg.IsComplete(clock.Milli(at)))
			default:
				offset++
				ent := Entry{
					Kind: verb, Key: vals["key"], Attempt: vals["attempt"], Holder: ident.Incarnation(vals["holder"]),
					Digest: vals["digest"], Expires: milli(vals["expires"]), Outcome: vals["outcome"], Answer: vals["answer"],
				}
				_, gap := ldg.Apply([]oplog.Record{{Offset: offset, At: clock.Milli(at), Body: ent.Encode()}})
				st := ldg.Find(vals["key"])
				fmt.Fprintf(&out, "%s -> %s by %s gap=%t keys=%d\n", line, st.Phase(), st.Attempt(), gap, ldg.Len())
			}
		}
		return out.String()
	})
}

func milli(text string) clock.Milli {
	n, _ := strconv.ParseInt(text, 10, 64)
	return clock.Milli(n)
}

// instance models one instance's use of the ledger.
type instance struct {
	name    ident.Incarnation
	ldg     Ledger
	attempt string
	ran     bool
	gaveUp  bool
	alive   bool
}

// scenario is a sequence of events at three instances that claim one key.
type scenario struct {
	log   []oplog.Record
	tries int
	ran   map[string]bool
}

func (scn *scenario) put(ent Entry) {
	scn.log = append(scn.log, oplog.Record{Offset: int64(len(scn.log) + 1), At: clock.Milli(len(scn.log) + 1), Body: ent.Encode()})
}

// claim starts an attempt, if none is in progress, and appends its claim; an append may be
// repeated at any time after a lost reply.
func (scn *scenario) claim(ins *instance) {
	if ins.attempt == "" {
		scn.tries++
		ins.attempt = fmt.Sprintf("a%d", scn.tries)
	}
	scn.put(Entry{Kind: KindClaim, Key: "k", Attempt: ins.attempt, Holder: ins.name, Digest: "d", Expires: MaxLife / 2})
}

// act reads the log up to an offset and follows the ledger's decision.
func (scn *scenario) act(ins *instance, upto int, live bool) {
	ins.ldg.Apply(scn.log[ins.ldg.Applied():upto])
	if ins.attempt == "" || ins.gaveUp || ins.ran {
		return
	}
	qry := Query{Attempt: ins.attempt, Digest: "d", Expires: MaxLife / 2, HolderLive: live}
	if move, _ := Judge(ins.ldg.Find("k"), qry, 1); move == Run {
		ins.ran = true
		scn.ran[ins.attempt] = true
	}
}

// release abandons an attempt that has not run and appends its release.
func (scn *scenario) release(ins *instance) {
	if ins.attempt == "" || ins.ran {
		return
	}
	scn.put(Entry{Kind: KindRelease, Key: "k", Attempt: ins.attempt})
	ins.gaveUp = true
}

// TestAtMostOneAttemptRuns: instances claim one key concurrently, repeat after lost
// replies, end, abandon attempts, resume late, and read the log at different speeds. In any
// order of events at most one attempt runs, and never an abandoned one.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scn := &scenario{ran: map[string]bool{}}
		insts := make([]*instance, 3)
		for i := range insts {
			insts[i] = &instance{name: ident.Incarnation(fmt.Sprintf("i%d#1", i)), alive: true}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			ins := insts[rapid.IntRange(0, len(insts)-1).Draw(t, "who")]
			if !ins.alive {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				scn.claim(ins)
			case 3, 4, 5, 6:
				upto := len(scn.log)
				if rapid.Bool().Draw(t, "lags") {
					upto = rapid.IntRange(int(ins.ldg.Applied()), len(scn.log)).Draw(t, "upto")
				}
				scn.act(ins, upto, rapid.Bool().Draw(t, "live"))
			case 7:
				scn.release(ins)
			case 8:
				if ins.gaveUp {
					ins.attempt, ins.gaveUp = "", false
				}
			case 9:
				ins.alive = rapid.IntRange(0, 5).Draw(t, "survives") > 0
			}
		}
		if len(scn.ran) > 1 {
			t.Fatalf("%d attempts ran: %v", len(scn.ran), scn.ran)
		}
	})
}

// TestForgettingDoesNotDependOnBatches: a key has expired when the next record arrives, a
// claim of the same key. A reader that receives both in one batch and one that receives
// them in two agree that the claim wins.
func TestForgettingDoesNotDependOnBatches(t *testing.T) {
	first := Entry{Kind: KindClaim, Key: "k", Attempt: "a1", Expires: 1000}
	second := Entry{Kind: KindClaim, Key: "k", Attempt: "a2", Expires: MaxLife + Grace + 1000}
	log := []oplog.Record{{Offset: 1, At: 1, Body: first.Encode()}, {Offset: 2, At: MaxLife + Grace + 1, Body: second.Encode()}}
	var one, two Ledger
	one.Apply(log)
	two.Apply(log[:1])
	two.Apply(log[1:])
	if one.Find("k") != two.Find("k") || one.Find("k").Attempt() != "a2" {
		t.Fatalf("states differ: %+v and %+v", one.Find("k"), two.Find("k"))
	}
}

// TestReadersAgree: two readers that apply the same log in different batches, with repeated
// records, have the same state.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []oplog.Record
		at := clock.Milli(0)
		for i := range rapid.IntRange(1, 50).Draw(t, "records") {
			at += clock.Milli(rapid.IntRange(0, int(MaxLife/3)).Draw(t, "gap"))
			ent := Entry{
				Kind:    rapid.SampledFrom([]string{KindClaim, KindRelease, KindSettle, "other"}).Draw(t, "kind"),
				Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
				Attempt: rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "attempt"),
				Digest:  "d", Expires: at + clock.Milli(rapid.IntRange(-10, int(MaxLife)).Draw(t, "life")), Outcome: "done", Reason: "none",
			}
			log = append(log, oplog.Record{Offset: int64(i + 1), At: at, Body: ent.Encode()})
		}
		var one, two Ledger
		one.Apply(log)
		for two.Next() <= int64(len(log)) {
			from := rapid.IntRange(0, int(two.Applied())).Draw(t, "from")
			upto := rapid.IntRange(int(two.Next()), len(log)).Draw(t, "upto")
			two.Apply(log[from:upto])
		}
		for _, key := range []string{"k1", "k2"} {
			if one.Find(key) != two.Find(key) {
				t.Fatalf("%s: %+v and %+v", key, one.Find(key), two.Find(key))
			}
		}
	})
}

// TestLateReaderKnowsLiveKeys: the log trims records after its retention, which is at
// least MinRetention. A new reader that starts with the remaining records, if there are any,
// knows every key that can still be repeated. A reader that has read before and finds younger
// records trimmed reports that it does not.
func TestLateReaderKnowsLiveKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []oplog.Record
		at := clock.Milli(1)
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			at += clock.Milli(rapid.IntRange(0, int(MaxLife/4)).Draw(t, "gap"))
			ent := Entry{Kind: KindClaim, Key: fmt.Sprintf("k%d", i), Attempt: fmt.Sprintf("a%d", i), Expires: at + MaxLife/2}
			log = append(log, oplog.Record{Offset: int64(i + 1), At: at, Body: ent.Encode()})
		}
		now := at + clock.Milli(rapid.IntRange(0, int(2*MinRetention)).Draw(t, "closed"))
		kept := rapid.Bool().Draw(t, "kept")
		retention := clock.Milli(rapid.IntRange(int(MaxLife/4), int(MinRetention)).Draw(t, "retention"))
		if kept {
			retention += MinRetention
		}
		first := len(log)
		for i, rec := range log {
			if rec.At > now-retention {
				first = i
				break
			}
		}
		var all, late Ledger
		all.Apply(log)
		if !kept {
			late.Apply(log[:rapid.IntRange(1, len(log)).Draw(t, "before")])
		}
		late.Restart(int64(first+1), now)
		late.Apply(log[first:])
		for i := range log {
			key := fmt.Sprintf("k%d", i)
			st := all.Find(key)
			if st.Phase() != Free && st.Expires() > now && late.Find(key) != st && late.IsComplete(now) {
				t.Fatalf("live key %s is unknown to a reader that reports to cover it", key)
			}
		}
		if kept && !late.IsComplete(now) {
			t.Fatal("a new reader refuses claims although the log met its retention")
		}
	})
}

func ExampleJudge() {
	var ldg Ledger
	ent := Entry{Kind: KindClaim, Key: "w/booking/k", Attempt: "a1", Holder: "10.0.0.1:7300#ab", Digest: "d", Expires: 5000}
	ldg.Apply([]oplog.Record{{Offset: 1, At: 1000, Body: ent.Encode()}})

	move, _ := Judge(ldg.Find("w/booking/k"), Query{Attempt: "a1", Digest: "d", Expires: 5000}, 1001)
	fmt.Println("the holder:", move)
	move, res := Judge(ldg.Find("w/booking/k"), Query{Attempt: "a2", Digest: "d", Expires: 5000}, 1001)
	fmt.Println("a repeat when the holder is gone:", move, res.Outcome(), res.Reason())
	// Output:
	// the holder: run
	// a repeat when the holder is gone: refuse unknown key_holder_gone
}
