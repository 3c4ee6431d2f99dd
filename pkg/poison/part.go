package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// partPrefix begins the keys of facts on parts of prompts.
	partPrefix = "p"
	// doubtMark begins the value of a crash fact that is doubtful. clearedByAnswer sorts behind all other
	// values, so that of changes made at the same time it is the one that stays.
	doubtMark       = "~"
	clearedByAnswer = doubtMark + doubtMark
	// trialPrefix begins the name of an attempt where an endpoint's name is expected.
	trialPrefix = "attempt "

	// partCrashes is the number of crashes that convict a part, at partMoments different moments; simultaneous
	// crashes have one cause, and any part may be at the endpoints that it hits. From crashesAtOnce on simultaneous
	// crashes convict too.
	partCrashes = 3
	partMoments = 3
	// momentSpan is how long after the first crash of a moment others belong to it.
	momentSpan = 250 * clock.Milli(1)
	// AnswerMemory is how long before a crash an answer makes it doubtful that the part is its cause: its
	// content or the endpoints' build may have changed. A part with doubtful crashes is convicted by
	// doubtfulCrashes over doubtfulSpan without an answer in between.
	AnswerMemory    = 30 * clock.Second
	doubtfulCrashes = 5
	doubtfulSpan    = 3 * clock.Second
	// confirmedCrashes is the number of crashes that confirm a conviction, after a trial that was not answered.
	confirmedCrashes = 5
	// explainedLead is how many more crashes than another part a part has if it explains those of the other one.
	explainedLead = 2
	// SettledAnswer is how long an answer has been under way when it proves that its request didn't crash the
	// endpoint: a part does so when its answer begins.
	SettledAnswer = 2 * clock.Second
)

// The times from the last crash or trial of a part to the next trial, by the number of trials so far: a part
// gets three within the retention of crashes.
var (
	openWaits      = []clock.Milli{3 * clock.Second, 30 * clock.Second, firstQuarantine, crashRetention}
	confirmedWaits = []clock.Milli{3 * clock.Second, firstQuarantine, quarantineFactor * firstQuarantine, crashRetention}
)

// Part is what the facts say of one part of prompts at one pool.
type Part struct {
	fpr Fingerprint
	// crashes are those that no answer has cleared, trials such trials.
	crashes   []Crash
	trials    []Crash
	convicted bool
	confirmed bool
}

// PartOf returns the fingerprint of a part of prompts at a pool. What crashes one model may be harmless to
// another.
func PartOf(pool, id string) Fingerprint { return FingerprintOf(partPrefix, pool, id, nil) }

// TrialName returns the name under which a trial is recorded where an endpoint's name is expected.
func TrialName(attempt string) ident.Process { return ident.Process(trialPrefix + attempt) }

// PartKey returns the fact key of the crash of an endpoint with a part in flight, or of the trial of a part.
func PartKey(fpr Fingerprint, endpoint ident.Process) string { return partPrefix + Key(fpr, endpoint) }

// parsePartKey parses a key made by [PartKey].
func parsePartKey(key string) (fpr Fingerprint, endpoint ident.Process, ok bool) {
	rest, ok := strings.CutPrefix(key, partPrefix)
	if !ok {
		return Fingerprint{}, "", false
	}
	return parseKey(rest)
}

// readParts builds the parts from facts and judges them.
func (lst *List) readParts(facts []gossip.Fact, now clock.Milli) {
	lst.parts = map[Fingerprint]*Part{}
	for _, fct := range facts {
		fpr, endpoint, ok := parsePartKey(fct.Key)
		if !ok || fct.Value == Cleared || fct.Value == clearedByAnswer {
			continue
		}
		prt := lst.parts[fpr]
		if prt == nil {
			prt = &Part{fpr: fpr}
			lst.parts[fpr] = prt
		}
		by, doubtful := strings.CutPrefix(fct.Value, doubtMark)
		crs := Crash{Endpoint: endpoint, By: by, At: now - fct.Age, Doubtful: doubtful}
		if strings.HasPrefix(string(endpoint), trialPrefix) {
			prt.trials = append(prt.trials, crs)
		} else {
			prt.crashes = append(prt.crashes, crs)
		}
	}
	for _, prt := range lst.parts {
		slices.SortFunc(prt.crashes, compareCrashes)
		slices.SortFunc(prt.trials, compareCrashes)
	}
	lst.judge()
}

// judge convicts parts. An endpoint that crashed accuses all parts in flight there, most of which are sound.
// Those that were answered in between are out. What is left is explained by as few parts as possible: the
// crashes of a part count only if no better convicted part explains them. An instance that lacks some of the
// facts convicts no others, but for parts whose crashes it can't explain yet.
func (lst *List) judge() {
	lst.convicted, lst.explained = nil, map[ident.Process]bool{}
	// explaining has the endpoints that crashed with a convicted part without doubt, with the most crashes of
	// such a part.
	explaining := map[ident.Process]int{}
	for _, prt := range lst.suspectsInOrder(partCrashes) {
		if !prt.convicts(prt.unexplained(explaining)) {
			continue
		}
		prt.convicted = true
		lst.convicted = append(lst.convicted, prt)
		for _, crs := range prt.crashes {
			lst.explained[crs.Endpoint] = true
			if !prt.doubtful() {
				explaining[crs.Endpoint] = max(explaining[crs.Endpoint], len(prt.crashes))
			}
		}
	}
	lst.confirm()
}

// suspectsInOrder returns the parts with at least some number of crashes, the best explanations first.
func (lst *List) suspectsInOrder(atLeast int) []*Part {
	var list []*Part
	for _, prt := range lst.parts {
		if len(prt.crashes) >= atLeast {
			list = append(list, prt)
		}
	}
	slices.SortFunc(list, func(x, y *Part) int {
		return cmp.Or(compareBools(x.doubtful(), y.doubtful()), cmp.Compare(len(y.crashes), len(x.crashes)), bytes.Compare(x.fpr[:], y.fpr[:]))
	})
	return list
}

// confirm confirms the convictions that a trial has borne out, of parts with enough crashes at which no other
// convicted part was in flight.
func (lst *List) confirm() {
	convictions := map[ident.Process]int{}
	for _, prt := range lst.convicted {
		for _, crs := range prt.crashes {
			convictions[crs.Endpoint]++
		}
	}
	for _, prt := range lst.convicted {
		own := 0
		for _, crs := range prt.crashes {
			if convictions[crs.Endpoint] == 1 {
				own++
			}
		}
		prt.confirmed = !prt.doubtful() && len(prt.trials) > 0 && own >= partCrashes && len(prt.crashes) >= confirmedCrashes && moments(prt.crashes) >= partMoments
	}
}

// doubtful reports whether a prompt with the part was answered shortly before a crash.
func (prt *Part) doubtful() bool {
	return slices.ContainsFunc(prt.crashes, func(crs Crash) bool { return crs.Doubtful })
}

// unexplained returns the crashes of the part that count against it. Those of a doubtful part don't where a
// convicted part without doubt was in flight; those of another part don't where one with more crashes was. A part
// without answers is not explained for ever, and parts that always come together explain nothing of each other:
// which of them it is shows in a trial.
func (prt *Part) unexplained(explaining map[ident.Process]int) []Crash {
	lead := len(prt.crashes) + explainedLead
	switch {
	case prt.doubtful():
		lead = 1
	case len(prt.crashes) >= confirmedCrashes:
		return prt.crashes
	}
	return slices.DeleteFunc(slices.Clone(prt.crashes), func(crs Crash) bool { return explaining[crs.Endpoint] >= lead })
}

// convicts reports whether crashes convict the part.
func (prt *Part) convicts(crashes []Crash) bool {
	count := len(crashes)
	if prt.doubtful() {
		return count >= doubtfulCrashes && crashes[count-1].At-crashes[0].At >= doubtfulSpan
	}
	return count >= crashesAtOnce || count >= partCrashes && moments(crashes) >= partMoments
}

// moments counts the moments at which crashes happened.
func moments(crashes []Crash) int {
	count, began := 0, clock.Milli(0)
	for _, crs := range crashes {
		if count == 0 || crs.At-began > momentSpan {
			count++
			began = crs.At
		}
	}
	return count
}

// Fingerprint returns the part's fingerprint.
func (prt *Part) Fingerprint() Fingerprint { return prt.fpr }

// Crashes returns the part's crashes since it was last answered, the oldest first.
func (prt *Part) Crashes() []Crash { return prt.crashes }

// Trials returns the number of trials since the part was last answered.
func (prt *Part) Trials() int { return len(prt.trials) }

// Confirmed reports whether the part alone explains enough crashes that its trials may be rare.
func (prt *Part) Confirmed() bool { return prt.confirmed }

// Quarantined returns the time until the next trial of a convicted part.
func (prt *Part) Quarantined(now clock.Milli) clock.Milli {
	waits := openWaits
	if prt.confirmed {
		waits = confirmedWaits
	}
	last := prt.crashes[len(prt.crashes)-1].At
	if len(prt.trials) > 0 {
		last = max(last, prt.trials[len(prt.trials)-1].At)
	}
	return max(last+waits[min(len(prt.trials), len(waits)-1)]-now, 0)
}

// Convicted returns the convicted parts of a prompt.
func (lst *List) Convicted(parts []Fingerprint) []*Part {
	if lst == nil || len(lst.convicted) == 0 {
		return nil
	}
	var list []*Part
	for _, fpr := range parts {
		if prt := lst.parts[fpr]; prt != nil && prt.convicted {
			list = append(list, prt)
		}
	}
	return list
}

// NewlyConvicted returns the parts that are convicted now but not according to an earlier list.
func (lst *List) NewlyConvicted(before *List) []*Part {
	return slices.DeleteFunc(slices.Clone(lst.convicted), func(prt *Part) bool { return len(before.Convicted([]Fingerprint{prt.fpr})) > 0 })
}

// Exonerate returns the new values of facts on the crashes of these parts, by their keys, that answers change:
// one that began after a crash clears the part of it, one shortly before makes it doubtful. latest returns when
// the latest answer to a prompt with a part began.
func (lst *List) Exonerate(parts []Fingerprint, latest func(fpr Fingerprint) (clock.Milli, bool)) map[string]string {
	if lst == nil {
		return nil
	}
	values := map[string]string{}
	for _, fpr := range parts {
		prt := lst.parts[fpr]
		if prt == nil {
			continue
		}
		began, ok := latest(fpr)
		for _, crs := range slices.Concat(prt.crashes, prt.trials) {
			switch {
			case !ok:
			case began > crs.At:
				values[PartKey(fpr, crs.Endpoint)] = clearedByAnswer
			case began >= crs.At-AnswerMemory && !crs.Doubtful:
				values[PartKey(fpr, crs.Endpoint)] = doubtMark + crs.By
			}
		}
	}
	return values
}

// Suspects returns the parts that were in flight at crashes.
func (lst *List) Suspects() []Fingerprint {
	if lst == nil {
		return nil
	}
	return slices.Collect(maps.Keys(lst.parts))
}

const (
	// maxStoredPartCrashes bounds the crashes of a part that are stored: half are the first, half the last ones.
	maxStoredPartCrashes = 2 * partMoments
	// minStoredCrashes is the number of crashes from which on a part without answers is stored before it is
	// convicted: all instances may end again and again before they have seen more.
	minStoredCrashes = 2
)

// storedKeys adds the keys of the facts on convicted parts, and on those that may soon be, for at most the given
// number of parts.
func (lst *List) storedKeys(wanted map[string]bool, parts int) {
	if lst == nil {
		return
	}
	list := slices.Clone(lst.convicted)
	for _, prt := range lst.suspectsInOrder(minStoredCrashes) {
		if !prt.convicted && !prt.doubtful() {
			list = append(list, prt)
		}
	}
	for _, prt := range list[:min(parts, len(list))] {
		stored := prt.crashes
		if len(stored) > maxStoredPartCrashes {
			stored = slices.Concat(stored[:partMoments], stored[len(stored)-partMoments:])
		}
		for _, crs := range slices.Concat(stored, prt.trials) {
			wanted[PartKey(prt.fpr, crs.Endpoint)] = true
		}
	}
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// compareCrashes orders crashes by their times.
func compareCrashes(x, y Crash) int {
	return cmp.Or(cmp.Compare(x.At, y.At), strings.Compare(string(x.Endpoint), string(y.Endpoint)))
}
