package poison

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"iter"
	"maps"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/rumor"
)

const (
	// endsAllowed is how many endpoints may end under a request before it is quarantined. Any
	// request may be at an endpoint that ends for another reason, and be there once more when
	// it is sent to the next one.
	endsAllowed = 2
	// firstQuarantine is how long after the last end a request is refused at first. Then it is
	// let in once more: whatever it ended may have been mended. Each further end makes its
	// quarantine longer times as long.
	firstQuarantine = 10 * clock.Minute
	longer          = 6
	// remembered is how long an end counts, and how long a request is refused at the most. By then
	// it has been let in three times more.
	remembered = clock.Day
	// mostEnds bounds the ends that are kept, some 200 B each.
	mostEnds = 4096
)

// Cleared is the value of an end that counts no longer. Any other value is the address of the
// instance that told of it.
const Cleared = ""

// End is the end of an endpoint while a request was there.
type End struct {
	Endpoint ident.Process
	// By is the address of the instance that saw it.
	By string
	At clock.Milli
}

// List tells under which requests endpoints have ended. It is never changed; nil is empty.
type List struct {
	byMark map[Mark][]End
}

// Bounds gives the bounds of the facts on ends. Those of requests under which more endpoints
// have ended stay longer: a caller who sends many different requests beside one that ends
// endpoints would otherwise have its own ends forgotten.
func Bounds(list func() *List) rumor.Bounds {
	return rumor.Bounds{Keep: remembered, Most: mostEnds, Weight: func(key string) int {
		mrk, _, _ := split(key)
		return len(list().Ends(mrk))
	}}
}

// Key names the end of an endpoint under a request among the facts.
func Key(mrk Mark, endpoint ident.Process) string { return mrk.String() + "/" + string(endpoint) }

func split(key string) (mrk Mark, endpoint ident.Process, ok bool) {
	name, rest, ok := strings.Cut(key, "/")
	raw, err := hex.DecodeString(name)
	if !ok || err != nil || len(raw) != markBytes {
		return Mark{}, "", false
	}
	return Mark(raw), ident.Process(rest), true
}

// Read makes a list of facts on ends.
func Read(facts []rumor.Fact, now clock.Milli) *List {
	lst := &List{byMark: map[Mark][]End{}}
	for _, fct := range facts {
		if mrk, endpoint, ok := split(fct.Key); ok && fct.Value != Cleared {
			lst.byMark[mrk] = append(lst.byMark[mrk], End{Endpoint: endpoint, By: fct.Value, At: now - fct.Age})
		}
	}
	for _, ends := range lst.byMark {
		slices.SortFunc(ends, func(x, y End) int {
			return cmp.Or(cmp.Compare(x.At, y.At), strings.Compare(string(x.Endpoint), string(y.Endpoint)))
		})
	}
	return lst
}

// Empty tells that no request is suspected.
func (lst *List) Empty() bool { return lst == nil || len(lst.byMark) == 0 }

// Ends gives the ends under a request, the first one first.
func (lst *List) Ends(mrk Mark) []End {
	if lst == nil {
		return nil
	}
	return lst.byMark[mrk]
}

// Quarantined gives for how much longer a request is refused; zero if it isn't.
func (lst *List) Quarantined(mrk Mark, now clock.Milli) clock.Milli {
	if !lst.OnTrial(mrk) {
		return 0
	}
	ends := lst.Ends(mrk)
	span := firstQuarantine
	for range len(ends) - endsAllowed - 1 {
		span = min(longer*span, remembered)
	}
	return max(ends[len(ends)-1].At+span-now, 0)
}

// OnTrial tells whether so many endpoints have ended under a request that it is let in once at a
// time, and only when its quarantine is over.
func (lst *List) OnTrial(mrk Mark) bool { return len(lst.Ends(mrk)) > endsAllowed }

// Quarantining gives those of the facts by which requests are refused, or will be once they are
// tried again: the last ones of each, of so many requests at most.
func Quarantining(facts []rumor.Fact, lst *List, marks, each int) []rumor.Fact {
	var list []rumor.Fact
	wanted := map[string]bool{}
	for mrk, ends := range lst.all() {
		if !lst.OnTrial(mrk) || marks == 0 {
			continue
		}
		marks--
		for _, end := range ends[max(len(ends)-each, 0):] {
			wanted[Key(mrk, end.Endpoint)] = true
		}
	}
	for _, fct := range facts {
		if wanted[fct.Key] {
			list = append(list, fct)
		}
	}
	return list
}

// all gives the ends under each request, in the order of the marks.
func (lst *List) all() iter.Seq2[Mark, []End] {
	return func(yield func(Mark, []End) bool) {
		if lst == nil {
			return
		}
		for _, mrk := range slices.SortedFunc(maps.Keys(lst.byMark), func(x, y Mark) int { return bytes.Compare(x[:], y[:]) }) {
			if !yield(mrk, lst.byMark[mrk]) {
				return
			}
		}
	}
}

// Newly gives the requests that are quarantined now and weren't by an earlier list.
func (lst *List) Newly(before *List, now clock.Milli) []Mark {
	var marks []Mark
	for mrk := range lst.all() {
		if lst.Quarantined(mrk, now) > 0 && before.Quarantined(mrk, now) == 0 {
			marks = append(marks, mrk)
		}
	}
	return marks
}

// Clear takes the ends under a request back in a table of facts, and gives what is to be passed
// on: a request that an endpoint has run to its end is not what ended others.
func Clear(tbl *rumor.Table, lst *List, mrk Mark, now clock.Milli) []rumor.Fact {
	var fresh []rumor.Fact
	for _, end := range lst.Ends(mrk) {
		if fct, ok := tbl.Set(rumor.EndedUnder, Key(mrk, end.Endpoint), Cleared, now); ok {
			fresh = append(fresh, fct)
		}
	}
	return fresh
}
