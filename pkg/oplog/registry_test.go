package oplog

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

func TestMain(m *testing.M) { golden.Main(m) }

// text returns a small valid document of a service that contains a mark.
func text(service, mark string) string {
	return fmt.Sprintf("name = %q\nowner = %q\n[[stage]]\nkind = \"encode\"\npool = \"p\"\n[[workspace]]\nname = \"w\"\n", service, mark)
}

func (reg *Registry) revisions() string {
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(reg.docs)) {
		parts = append(parts, fmt.Sprintf("%s@%d(%s)", service, reg.docs[service].revision, reg.docs[service].doc.Owner()))
	}
	return strings.Join(parts, " ")
}

// TestSessions runs sequences of offers, snapshots, manifests, restarts of the reader, and
// records that are repeated or out of order.
func TestSessions(t *testing.T) {
	golden.Run(t, "*.txtar", func(_ *testing.T, sections map[string]string) string {
		var reg Registry
		var out strings.Builder
		for _, line := range golden.Lines(sections["input"]) {
			verb, vals := golden.Fields(line)
			num := func(key string) int64 { n, _ := strconv.ParseInt(vals[key], 10, 64); return n }
			if verb == "restart" {
				reg.Restart(num("start"))
				fmt.Fprintf(&out, "%s -> ready=%t next=%d\n", line, reg.Ready(), reg.Next())
				continue
			}
			ent := Entry{Kind: verb, ID: vals["id"], Service: vals["service"], Base: num("base"), Revision: num("revision"), AsOf: num("as_of")}
			ent.Text = text(vals["service"], vals["mark"])
			if vals["bad"] != "" {
				ent.Text = "name = 3"
			}
			if verb == KindManifest {
				ent.Revisions = map[string]int64{vals["service"]: num("revision")}
			}
			decided, gap := reg.Apply([]Record{{Offset: num("offset"), At: clock.Milli(num("offset")), Body: ent.Encode()}})
			fmt.Fprintf(&out, "%s ->", line)
			for _, dec := range decided {
				fmt.Fprintf(&out, " %s:%s", dec.ID(), dec.Verdict())
			}
			fmt.Fprintf(&out, " gap=%t applied=%d ready=%t %s\n", gap, reg.Applied(), reg.Ready(), reg.revisions())
		}
		return out.String()
	})
}

// history generates a random log of operators' offers and of snapshots that instances,
// including lagging ones, appended from any earlier state.
func history(t *rapid.T) []Record {
	var log []Record
	var requests []int64
	first := Entry{Kind: KindOffer, ID: "first", Service: "a", Text: text("a", "first")}
	log = append(log, Record{Offset: 1, At: 1, Body: first.Encode()})
	readers := []*Registry{{}, {}, {}}
	for i := range rapid.IntRange(5, 60).Draw(t, "records") {
		reg := readers[rapid.IntRange(0, 2).Draw(t, "reader")]
		if upto := rapid.IntRange(int(reg.Applied()), len(log)).Draw(t, "upto"); upto > int(reg.Applied()) {
			reg.Apply(log[reg.Applied():upto])
		}
		var ents []Entry
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0, 1:
			ents = reg.Snapshot(clock.Milli(len(log)))
		case 2:
			ents = []Entry{{Kind: KindStateRequest}}
			requests = append(requests, int64(len(log)+1))
		case 3:
			// A reset may be late or repeated.
			if len(requests) > 0 {
				ents = []Entry{{Kind: KindReset, AsOf: rapid.SampledFrom(requests).Draw(t, "as of")}}
			}
		default:
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			dcv, _ := reg.Current(service)
			id := fmt.Sprintf("o%d", rapid.IntRange(0, i).Draw(t, "id"))
			ents = []Entry{{Kind: KindOffer, ID: id, Service: service, Base: dcv.Revision(), Text: text(service, id), By: "op"}}
		}
		for _, ent := range ents {
			log = append(log, Record{Offset: int64(len(log) + 1), At: clock.Milli(len(log) + 1), Body: ent.Encode()})
		}
	}
	return log
}

// TestEveryReaderAgrees: a reader that reads from the start, one that reads in other
// batches with repeats, and one that starts at a trimmed log have the same documents as
// soon as they are ready at the same offset.
func TestEveryReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := history(t)
		var whole, late Registry
		whole.Apply(log)
		start := rapid.IntRange(1, len(log)).Draw(t, "start")
		late.Apply(log[:rapid.IntRange(0, start-1).Draw(t, "before")])
		late.Restart(int64(start))
		late.Apply(log[start-1:])
		if late.Ready() && late.revisions() != whole.revisions() {
			t.Fatalf("documents differ: complete reader %s, reader from offset %d %s", whole.revisions(), start, late.revisions())
		}
	})
}

// hasReset reports whether the log contains a reset, valid or not.
func hasReset(log []Record) bool {
	for _, rec := range log {
		if strings.Contains(string(rec.Body), `"kind":"reset"`) {
			return true
		}
	}
	return false
}

// TestNeverReverts: whatever a reader is given, in any order, repeated, from an older state
// of another instance or after the log was trimmed, its offset and the revision of each
// service never decrease. Only a valid reset removes a service.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := history(t)
		var reg, other Registry
		resets := hasReset(log)
		for range rapid.IntRange(1, 20).Draw(t, "feeds") {
			applied, before := reg.Applied(), reg.All()
			from := rapid.IntRange(0, len(log)-1).Draw(t, "from")
			upto := rapid.IntRange(from, len(log)).Draw(t, "upto")
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				reg.Restart(int64(from + 1))
			case 1:
				other = Registry{}
				other.Apply(log[:upto])
				if st, ok := other.State(); ok {
					reg.Load(st)
				}
			default:
				reg.Apply(log[from:upto])
			}
			if reg.Applied() < applied {
				t.Fatalf("applied fell from %d to %d", applied, reg.Applied())
			}
			for service, dcv := range before {
				now, ok := reg.Current(service)
				if !ok && !resets || ok && now.Revision() < dcv.Revision() {
					t.Fatalf("%s reverted from %d to %d", service, dcv.Revision(), now.Revision())
				}
			}
		}
	})
}

// TestLateResetDoesNothing: a reader requests the state and receives it, and its reset is
// still appended, twice. No document is dropped.
func TestLateResetDoesNothing(t *testing.T) {
	var reg Registry
	put := func(offset int64, ent Entry) { reg.Apply([]Record{{Offset: offset, At: 1, Body: ent.Encode()}}) }
	put(1, Entry{Kind: KindOffer, ID: "o", Service: "a", Text: text("a", "x")})
	put(2, Entry{Kind: KindStateRequest})
	if !reg.StateRequested() {
		t.Fatal("the state request is not pending")
	}
	for i, ent := range reg.Snapshot(10) {
		put(int64(3+i), ent)
	}
	put(reg.Next(), Entry{Kind: KindReset, AsOf: 2})
	put(reg.Next(), Entry{Kind: KindReset, AsOf: 2})
	if _, ok := reg.Current("a"); !ok || reg.StateRequested() {
		t.Fatal("a late reset dropped a document")
	}
}

func ExampleRegistry() {
	var reg Registry
	offer := func(offset int64, id string, base int64) {
		ent := Entry{Kind: KindOffer, ID: id, Service: "booking", Base: base, Text: text("booking", id)}
		decided, _ := reg.Apply([]Record{{Offset: offset, Body: ent.Encode()}})
		fmt.Println(decided[0].ID(), decided[0].Verdict())
	}
	offer(1, "first", 0)
	offer(2, "anna", 1)
	offer(3, "ben", 1)
	// Output:
	// first accepted
	// anna accepted
	// ben lost_race
}
