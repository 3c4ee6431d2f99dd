package poison

import (
	"bytes"
	"encoding/hex"
	"iter"
	"maps"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// crashesAllowed is the number of crashes before a request is quarantined. Any request may be
	// at an endpoint that crashes for another reason, and this may happen to it again when it is
	// retried at the next one.
	crashesAllowed = 2
	// Crashes of one moment quarantine a request from crashesAtOnce on: a stream that is resumed at once, endpoint
	// after endpoint, may be a bystander at all of them.
	requestMoments = 2
	crashesAtOnce  = 5
	// firstQuarantine is the first quarantine, counted from the last crash. Afterwards the request
	// is admitted for a trial, since the endpoints may have been fixed. Each further crash
	// multiplies the quarantine by quarantineFactor.
	firstQuarantine  = 10 * clock.Minute
	quarantineFactor = 6
	// crashRetention is the retention of a crash and the maximum quarantine. A request gets three
	// trials within it.
	crashRetention = clock.Day
	// maxCrashes bounds the number of stored crashes, some 200 B each.
	maxCrashes = 4096
)

// Cleared is the value of a crash fact that no longer counts. Any other value is the address of
// the instance that observed the crash.
const Cleared = ""

// Crash is a crash of an endpoint while a request was in flight there.
type Crash struct {
	Endpoint ident.Process
	// By is the address of the instance that observed the crash.
	By string
	At clock.Milli
	// Doubtful is set on the crash of a part that had been answered shortly before.
	Doubtful bool
}

// List is an immutable index of crashes by request and by part of prompts. A nil list is empty.
type List struct {
	byFingerprint map[Fingerprint][]Crash
	parts         map[Fingerprint]*Part
	// convicted are the convicted parts, explained the endpoints that crashed with one in flight.
	convicted []*Part
	explained map[ident.Process]bool
}

// Bounds returns the bounds of crash facts. Facts on requests and parts with more crashes are evicted
// last: otherwise the caller of a poison request could have its crashes evicted by sending many other
// requests that are present at crashes.
func Bounds(list func() *List) gossip.Bounds {
	return gossip.Bounds{Retention: crashRetention, MaxFacts: maxCrashes, Weight: func(key string) int {
		if fpr, _, ok := parsePartKey(key); ok {
			return list().partWeight(fpr)
		}
		fpr, _, _ := parseKey(key)
		return len(list().Crashes(fpr))
	}}
}

// Key returns the fact key of the crash of an endpoint with a request in flight.
func Key(fpr Fingerprint, endpoint ident.Process) string {
	return fpr.String() + "/" + string(endpoint)
}

// parseKey parses a key made by [Key].
func parseKey(key string) (fpr Fingerprint, endpoint ident.Process, ok bool) {
	name, rest, ok := strings.Cut(key, "/")
	raw, err := hex.DecodeString(name)
	if !ok || err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, "", false
	}
	return Fingerprint(raw), ident.Process(rest), true
}

// Read builds a list from crash facts. Malformed keys and cleared crashes are skipped.
func Read(facts []gossip.Fact, now clock.Milli) *List {
	lst := &List{byFingerprint: map[Fingerprint][]Crash{}}
	for _, fct := range facts {
		if fpr, endpoint, ok := parseKey(fct.Key); ok && fct.Value != Cleared {
			lst.byFingerprint[fpr] = append(lst.byFingerprint[fpr], Crash{Endpoint: endpoint, By: fct.Value, At: now - fct.Age})
		}
	}
	lst.readParts(facts, now)
	for fpr, crashes := range lst.byFingerprint {
		crashes = slices.DeleteFunc(crashes, func(crs Crash) bool { return lst.explained[crs.Endpoint] })
		slices.SortFunc(crashes, compareCrashes)
		if lst.byFingerprint[fpr] = crashes; len(crashes) == 0 {
			delete(lst.byFingerprint, fpr)
		}
	}
	return lst
}

// Empty reports whether no request and no part of prompts is suspected.
func (lst *List) Empty() bool {
	return lst == nil || len(lst.byFingerprint) == 0 && len(lst.parts) == 0
}

// Crashes returns the crashes of a request that no part of prompts explains, the oldest first.
func (lst *List) Crashes(fpr Fingerprint) []Crash {
	if lst == nil {
		return nil
	}
	return lst.byFingerprint[fpr]
}

// partWeight returns the number of crashes of a part.
func (lst *List) partWeight(fpr Fingerprint) int {
	if lst == nil || lst.parts[fpr] == nil {
		return 0
	}
	return len(lst.parts[fpr].crashes)
}

// Quarantined returns the remaining time of a request's quarantine; zero if it is not quarantined.
func (lst *List) Quarantined(fpr Fingerprint, now clock.Milli) clock.Milli {
	if !lst.OnTrial(fpr) {
		return 0
	}
	crashes := lst.Crashes(fpr)
	span := firstQuarantine
	for range len(crashes) - crashesAllowed - 1 {
		span = min(quarantineFactor*span, crashRetention)
	}
	return max(crashes[len(crashes)-1].At+span-now, 0)
}

// OnTrial reports whether a request has so many crashes that it is admitted only after its
// quarantine, and one attempt at a time.
func (lst *List) OnTrial(fpr Fingerprint) bool {
	crashes := lst.Crashes(fpr)
	return len(crashes) >= crashesAtOnce || len(crashes) > crashesAllowed && moments(crashes) >= requestMoments
}

// QuarantineFacts returns the facts that quarantine requests and convict parts, or may do so after the
// next trial or crash: for at most the given number of requests and of parts, the last each facts of a request.
func QuarantineFacts(facts []gossip.Fact, lst *List, requests, each int) []gossip.Fact {
	var list []gossip.Fact
	wanted := map[string]bool{}
	lst.storedKeys(wanted, requests)
	for fpr, crashes := range lst.all() {
		if !lst.OnTrial(fpr) || requests == 0 {
			continue
		}
		requests--
		for _, crs := range crashes[max(len(crashes)-each, 0):] {
			wanted[Key(fpr, crs.Endpoint)] = true
		}
	}
	for _, fct := range facts {
		if wanted[fct.Key] {
			list = append(list, fct)
		}
	}
	return list
}

// all iterates over the crashes of each request, in the order of the fingerprints.
func (lst *List) all() iter.Seq2[Fingerprint, []Crash] {
	return func(yield func(Fingerprint, []Crash) bool) {
		if lst == nil {
			return
		}
		for _, fpr := range slices.SortedFunc(maps.Keys(lst.byFingerprint), func(x, y Fingerprint) int { return bytes.Compare(x[:], y[:]) }) {
			if !yield(fpr, lst.byFingerprint[fpr]) {
				return
			}
		}
	}
}

// NewlyQuarantined returns the requests that are quarantined now but not according to an earlier
// list.
func (lst *List) NewlyQuarantined(before *List, now clock.Milli) []Fingerprint {
	var prints []Fingerprint
	for fpr := range lst.all() {
		if lst.Quarantined(fpr, now) > 0 && before.Quarantined(fpr, now) == 0 {
			prints = append(prints, fpr)
		}
	}
	return prints
}

// Clear marks the crashes of a request as cleared in a table and returns the changed facts, which
// the caller disseminates. A request that an endpoint has completed is not the cause of crashes.
func Clear(tbl *gossip.Table, lst *List, fpr Fingerprint, now clock.Milli) []gossip.Fact {
	var fresh []gossip.Fact
	for _, crs := range lst.Crashes(fpr) {
		if fct, ok := tbl.Set(gossip.CrashedUnder, Key(fpr, crs.Endpoint), Cleared, now); ok {
			fresh = append(fresh, fct)
		}
	}
	return fresh
}
