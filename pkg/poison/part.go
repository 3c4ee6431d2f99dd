package poison

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// partPrefix begins the keys of facts on parts of prompts.
	partPrefix = "p"
	// trialPrefix begins the name of an attempt where an endpoint's name is expected.
	trialPrefix = "attempt "

	// partCrashes is the number of crashes that convict a part, at partMoments different moments; simultaneous
	// crashes have one cause, and any part may be at the endpoints that it hits. More than that explains
	// simultaneous crashes too.
	partCrashes       = 3
	partMoments       = 3
	partCrashesAtOnce = 5
	// momentGap separates crashes of different moments.
	momentGap = 250 * clock.Milli(1)
	// answerMemory is how long before a crash an answer makes it doubtful that the part is its cause. A
	// doubtful part is convicted by doubtfulCrashes over doubtfulSpan without an answer in between: its
	// content or the endpoints' build may have changed.
	answerMemory    = 30 * clock.Second
	doubtfulCrashes = 5
	doubtfulSpan    = 3 * clock.Second
	// confirmedCrashes is the number of crashes that confirm a conviction.
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
	confirmedWaits = []clock.Milli{firstQuarantine, quarantineFactor * firstQuarantine, quarantineFactor * quarantineFactor * firstQuarantine, crashRetention}
	doubtfulWaits  = []clock.Milli{3 * clock.Second, 30 * clock.Second, firstQuarantine, crashRetention}
)

// Part is what the facts say of one part of prompts at one pool.
type Part struct {
	fpr Fingerprint
	// crashes are those since the last answer, trials the trials since then.
	crashes  []Crash
	trials   []Crash
	answered clock.Milli
	// known is set if the part has been answered at all.
	known     bool
	convicted bool
	confirmed bool
}

// PartOf returns the fingerprint of a part of prompts at a pool. What crashes one model may be harmless to
// another.
func PartOf(pool, id string) Fingerprint { return FingerprintOf(partPrefix, pool, id, nil) }

// Trial returns the name under which a trial is recorded where an endpoint's name is expected.
func Trial(attempt string) ident.Process { return ident.Process(trialPrefix + attempt) }

// PartKey returns the fact key of the crash of an endpoint with a part in flight, or of the trial of a part.
func PartKey(fpr Fingerprint, endpoint ident.Process) string { return partPrefix + Key(fpr, endpoint) }

// AnswerKey returns the fact key of the last answer to a prompt with a part. The fact's age is that of the
// answer's beginning.
func AnswerKey(fpr Fingerprint) string { return PartKey(fpr, "") }

// Answered is the value of the fact that a prompt with a part was answered.
const Answered = "answered"

// parsePartKey parses a key made by [PartKey] or [AnswerKey].
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
		if !ok || fct.Value == Cleared {
			continue
		}
		prt := lst.parts[fpr]
		if prt == nil {
			prt = &Part{fpr: fpr}
			lst.parts[fpr] = prt
		}
		crs := Crash{Endpoint: endpoint, By: fct.Value, At: now - fct.Age}
		switch {
		case endpoint == "":
			prt.answered, prt.known = crs.At, true
		case strings.HasPrefix(string(endpoint), trialPrefix):
			prt.trials = append(prt.trials, crs)
		default:
			prt.crashes = append(prt.crashes, crs)
		}
	}
	for _, prt := range lst.parts {
		prt.crashes, prt.trials = prt.sinceAnswer(prt.crashes), prt.sinceAnswer(prt.trials)
	}
	lst.judge()
}

// sinceAnswer returns the crashes after the part's last answer began, the oldest first.
func (prt *Part) sinceAnswer(list []Crash) []Crash {
	list = slices.DeleteFunc(list, func(crs Crash) bool { return prt.known && crs.At < prt.answered })
	slices.SortFunc(list, compareCrashes)
	return list
}

// judge convicts parts. An endpoint that crashed accuses all parts in flight there, most of which are sound.
// Those that were answered in between are out. What is left is explained by as few parts as possible: the
// crashes of a part count only if no better convicted part explains them.
func (lst *List) judge() {
	lst.convicted, lst.explained = nil, map[ident.Process]bool{}
	for _, prt := range lst.parts {
		if len(prt.crashes) >= partCrashes {
			lst.convicted = append(lst.convicted, prt)
		}
	}
	slices.SortFunc(lst.convicted, func(x, y *Part) int {
		return cmp.Or(compareBools(x.doubtful(), y.doubtful()), cmp.Compare(len(y.crashes), len(x.crashes)), bytes.Compare(x.fpr[:], y.fpr[:]))
	})
	suspects := lst.convicted
	lst.convicted = nil
	for _, prt := range suspects {
		if prt.convicts(lst.unexplained(prt, func(oth *Part) bool { return oth.explains(prt) })) {
			prt.convicted = true
			lst.convicted = append(lst.convicted, prt)
		}
	}
	for _, prt := range lst.convicted {
		own := lst.unexplained(prt, func(oth *Part) bool { return oth != prt })
		prt.confirmed = !prt.doubtful() && len(prt.crashes) >= confirmedCrashes && moments(prt.crashes) >= partMoments && len(own) >= partCrashes
		for _, crs := range prt.crashes {
			lst.explained[crs.Endpoint] = true
		}
	}
}

// doubtful reports whether the part was answered shortly before its first crash that counts.
func (prt *Part) doubtful() bool {
	return prt.known && len(prt.crashes) > 0 && prt.answered >= prt.crashes[0].At-answerMemory
}

// explains reports whether crashes of another part that are this part's as well don't count against the other
// one. Parts that always come together explain nothing of each other: which of them it is shows in a trial.
func (prt *Part) explains(oth *Part) bool {
	return !prt.doubtful() && (oth.doubtful() || len(prt.crashes) >= len(oth.crashes)+explainedLead)
}

// unexplained returns the crashes of a part that no convicted part explains.
func (lst *List) unexplained(prt *Part, explains func(oth *Part) bool) []Crash {
	elsewhere := map[ident.Process]bool{}
	for _, oth := range lst.convicted {
		if explains(oth) {
			for _, crs := range oth.crashes {
				elsewhere[crs.Endpoint] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(prt.crashes), func(crs Crash) bool { return elsewhere[crs.Endpoint] })
}

// convicts reports whether crashes convict the part.
func (prt *Part) convicts(crashes []Crash) bool {
	count := len(crashes)
	if prt.doubtful() {
		return count >= doubtfulCrashes && crashes[count-1].At-crashes[0].At >= doubtfulSpan
	}
	return count >= partCrashesAtOnce || count >= partCrashes && moments(crashes) >= partMoments
}

// moments counts the moments at which crashes happened.
func moments(crashes []Crash) int {
	count := 0
	for i, crs := range crashes {
		if i == 0 || crs.At-crashes[i-1].At > momentGap {
			count++
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
	waits := doubtfulWaits
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

// Suspected reports whether an endpoint has crashed with any of these parts in flight.
func (lst *List) Suspected(parts []Fingerprint) bool {
	return lst != nil && slices.ContainsFunc(parts, func(fpr Fingerprint) bool { return lst.parts[fpr] != nil })
}

// Exonerating returns the suspected parts on whose crashes the beginnings of local answers bear, with the time
// of the beginning: answers after a crash, or shortly before the first. latest returns the latest answer that began.
func (lst *List) Exonerating(latest func(fpr Fingerprint) (clock.Milli, bool)) map[Fingerprint]clock.Milli {
	list := map[Fingerprint]clock.Milli{}
	if lst == nil {
		return list
	}
	for fpr, prt := range lst.parts {
		if at, ok := latest(fpr); ok && prt.bears(at) {
			list[fpr] = at
		}
	}
	return list
}

// bears reports whether an answer that began at a time changes what is known of the part's crashes.
func (prt *Part) bears(at clock.Milli) bool {
	if len(prt.crashes) == 0 || prt.known && at <= prt.answered {
		return false
	}
	return prt.crashes[0].At < at || !prt.doubtful() && at >= prt.crashes[0].At-answerMemory
}

// maxStoredPartCrashes bounds the crashes of a part that are stored: half are the first, half the last ones.
const maxStoredPartCrashes = 2 * partMoments

// storedKeys adds the keys of the facts that convict parts, for at most the given number of parts.
func (lst *List) storedKeys(wanted map[string]bool, parts int) {
	if lst == nil {
		return
	}
	for _, prt := range lst.convicted[:min(parts, len(lst.convicted))] {
		stored := prt.crashes
		if len(stored) > maxStoredPartCrashes {
			stored = slices.Concat(stored[:partMoments], stored[len(stored)-partMoments:])
		}
		for _, crs := range slices.Concat(stored, prt.trials) {
			wanted[PartKey(prt.fpr, crs.Endpoint)] = true
		}
		wanted[AnswerKey(prt.fpr)] = true
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
