package svcdoc

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"amaranthvalve/internal/tomlx"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Bounds of a document.
const (
	// MaxBytes is the maximum size of a document: 1,100 workspaces of about 150 bytes take
	// 165 KB.
	MaxBytes = 256 << 10
	// MaxDeadline is the maximum deadline.
	MaxDeadline = 10 * clock.Minute
	// MaxKeyLife is the maximum life of a key. It is below the log's retention, see package
	// claim.
	MaxKeyLife = clock.Day

	// MaxPriority is the highest priority.
	MaxPriority = 9

	maxStages     = 16
	maxWorkspaces = 2000
)

// Defaults of optional keys.
const (
	defaultPriority = 5
	defaultDeadline = 12 * clock.Second
	defaultKeyLife  = clock.Hour
	defaultEstimate = 20 * clock.Milli(1)
	defaultRate     = 100.0
	defaultInFlight = 64
)

var nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type checker struct {
	fts *tomlx.Faults
	doc *Document
}

func (chk *checker) run() {
	raw := &chk.doc.raw
	chk.name("name", raw.Name)
	chk.doc.weighs = chk.weighs(raw.Weighs)
	chk.defaults()
	chk.span("deadline_ms", raw.DeadlineMs, MaxDeadline)
	chk.span("key_life_ms", raw.KeyLifeMs, MaxKeyLife)
	if raw.Priority < 0 || raw.Priority > MaxPriority {
		chk.fts.Add("priority", "%d is not in 0 to %d", raw.Priority, MaxPriority)
	}
	chk.stages()
	chk.requests()
	chk.workspaces()
	if raw.Owner == "" {
		chk.fts.Warn("owner", "no owner: there is no contact for this service")
	}
}

// defaults sets the keys that the document omits; an explicit zero stays and is checked.
func (chk *checker) defaults() {
	raw := &chk.doc.raw
	if !chk.fts.IsSet("priority") {
		raw.Priority = defaultPriority
	}
	if !chk.fts.IsSet("deadline_ms") {
		raw.DeadlineMs = int64(defaultDeadline)
	}
	if !chk.fts.IsSet("key_life_ms") {
		raw.KeyLifeMs = int64(max(defaultKeyLife, clock.Milli(raw.DeadlineMs)))
	}
}

func (chk *checker) name(path, name string) {
	if !nameRule.MatchString(name) {
		chk.fts.Add(path, "%q is not a name: 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", name)
	}
}

func (chk *checker) weighs(text string) Objective {
	switch text {
	case "", Attainment.String():
		return Attainment
	case Cost.String():
		return Cost
	}
	chk.fts.Add("weighs", "%q is neither %q nor %q", text, Attainment, Cost)
	return Attainment
}

func (chk *checker) span(path string, ms int64, most clock.Milli) {
	if ms <= 0 || clock.Milli(ms) > most {
		chk.fts.Add(path, "%d ms is not in 1 to %d", ms, most)
	}
}

func (chk *checker) stages() {
	raw := &chk.doc.raw
	if len(raw.Stage) == 0 {
		chk.fts.Add("stage", "a service needs at least one [[stage]]")
	}
	if len(raw.Stage) > maxStages {
		chk.fts.Add("stage", "%d stages, at most %d are possible", len(raw.Stage), maxStages)
	}
	seen := map[string]bool{}
	for i := range raw.Stage {
		chk.stage(fmt.Sprintf("stage[%d]", i), &raw.Stage[i], seen)
	}
	chk.buildGraph()
	need := chk.doc.graph.Longest(func(stg int) clock.Milli { return clock.Milli(raw.Stage[stg].NeedMs) })
	if need > clock.Milli(raw.DeadlineMs) {
		chk.fts.Warn("deadline_ms", "the stages' need_ms add up to %d ms, the deadline is %d ms: every request would be refused", need, raw.DeadlineMs)
	}
}

// buildGraph builds the graph of data dependencies. A stage that names none takes the result of
// the stage before it, so that a plain list is a chain.
func (chk *checker) buildGraph() {
	after := make([][]int, len(chk.doc.raw.Stage))
	taken := make([]bool, len(after))
	for i := range after {
		after[i] = chk.after(i)
		for _, pre := range after[i] {
			taken[pre] = true
		}
	}
	for i := range taken[:max(len(taken)-1, 0)] {
		if !taken[i] {
			chk.fts.Add(fmt.Sprintf("stage[%d].name", i), "no stage takes the result of %q; only that of the last stage is the answer", chk.doc.raw.Stage[i].Name)
		}
	}
	// Stages take results of earlier ones only, so that there is no cycle and New can't
	// fail.
	chk.doc.graph, _ = graph.New(after)
}

// after returns the indices of the stages whose results a stage takes.
func (chk *checker) after(i int) []int {
	path := fmt.Sprintf("stage[%d].after", i)
	if !chk.fts.IsSet(path) {
		if i == 0 {
			return nil
		}
		return []int{i - 1}
	}
	var list []int
	for _, name := range chk.doc.raw.Stage[i].After {
		pre := slices.IndexFunc(chk.doc.raw.Stage[:i], func(stg rawStage) bool { return stg.Name == name })
		switch {
		case pre < 0:
			chk.fts.Add(path, "no stage above this one is named %q", name)
		case slices.Contains(list, pre):
			chk.fts.Add(path, "%q is listed twice", name)
		default:
			list = append(list, pre)
		}
	}
	return list
}

func (chk *checker) stage(path string, stg *rawStage, seen map[string]bool) {
	kind, ok := kindByName(stg.Kind)
	if !ok {
		chk.fts.Add(path+".kind", "%q is not one of encode, retrieve, rerank, generate, call", stg.Kind)
	}
	chk.doc.kinds = append(chk.doc.kinds, kind)
	if stg.Name == "" {
		stg.Name = stg.Kind
	}
	chk.name(path+".name", stg.Name)
	if seen[stg.Name] {
		chk.fts.Add(path+".name", "%q is listed twice", stg.Name)
	}
	seen[stg.Name] = true
	chk.name(path+".pool", stg.Pool)
	if !chk.fts.IsSet(path + ".need_ms") {
		stg.NeedMs = int64(defaultEstimate)
	}
	chk.span(path+".need_ms", stg.NeedMs, MaxDeadline)
	if stg.NonIdempotent != nil && *stg.NonIdempotent && kind != Call {
		chk.fts.Warn(path+".non_idempotent", "a stage of kind %s usually has no effect; it will never be retried", kind)
	}
	if stg.ChecksFencing && stg.Model == "" {
		chk.fts.Warn(path+".checks_fencing", "the stage has no model, so that no orders are sent whose fencing number could be checked")
	}
}

func kindByName(text string) (Kind, bool) {
	for kind := Encode; kind <= Call; kind++ {
		if kind.String() == text {
			return kind, true
		}
	}
	return Encode, false
}

func (chk *checker) requests() {
	raw := &chk.doc.raw
	if len(raw.Request) == 0 {
		raw.Request = []rawRequest{{Name: "run", NonIdempotent: chk.hasNonIdempotentStage()}}
	}
	seen := map[string]bool{}
	for i := range raw.Request {
		req := &raw.Request[i]
		path := fmt.Sprintf("request[%d]", i)
		chk.name(path+".name", req.Name)
		if seen[req.Name] {
			chk.fts.Add(path+".name", "%q is listed twice", req.Name)
		}
		seen[req.Name] = true
		if !req.NonIdempotent && chk.hasNonIdempotentStage() {
			// The stage itself is never retried, but nothing would prevent a repeat by the
			// caller from running it a second time.
			chk.fts.Add(path+".non_idempotent", "must be true: the service has a non-idempotent stage")
		}
	}
}

func (chk *checker) hasNonIdempotentStage() bool {
	for i := range chk.doc.raw.Stage {
		if i < len(chk.doc.kinds) && chk.doc.Stage(i).NonIdempotent() {
			return true
		}
	}
	return false
}

func (chk *checker) workspaces() {
	raw := &chk.doc.raw
	if len(raw.Workspace) == 0 {
		chk.fts.Warn("workspace", "no [[workspace]]: nobody may call this service")
	}
	if len(raw.Workspace) > maxWorkspaces {
		chk.fts.Add("workspace", "%d workspaces, at most %d are possible", len(raw.Workspace), maxWorkspaces)
	}
	seen := map[string]bool{}
	for i := range raw.Workspace {
		wsp := &raw.Workspace[i]
		path := fmt.Sprintf("workspace[%d]", i)
		chk.name(path+".name", wsp.Name)
		if seen[wsp.Name] {
			chk.fts.Add(path+".name", "%q is listed twice", wsp.Name)
		}
		seen[wsp.Name] = true
		chk.limits(path, wsp)
	}
}

func (chk *checker) limits(path string, wsp *rawWorkspace) {
	if !chk.fts.IsSet(path + ".requests_per_second") {
		wsp.RequestsPerSecond = defaultRate
	}
	if !chk.fts.IsSet(path + ".burst") {
		wsp.Burst = max(1, int(wsp.RequestsPerSecond))
	}
	if !chk.fts.IsSet(path + ".in_flight") {
		wsp.InFlight = defaultInFlight
	}
	if !chk.fts.IsSet(path + ".share") {
		wsp.Share = 1
	}
	if wsp.RequestsPerSecond <= 0 {
		chk.fts.Add(path+".requests_per_second", "%g is not above 0", wsp.RequestsPerSecond)
	}
	chk.positive(path+".burst", wsp.Burst)
	chk.positive(path+".in_flight", wsp.InFlight)
	chk.positive(path+".share", wsp.Share)
	hash := strings.ToLower(wsp.TokenSha256)
	if hash != "" && !regexp.MustCompile(`^[0-9a-f]{64}$`).MatchString(hash) {
		chk.fts.Add(path+".token_sha256", "not 64 hexadecimal digits")
	}
	wsp.TokenSha256 = hash
}

func (chk *checker) positive(path string, val int) {
	if val <= 0 {
		chk.fts.Add(path, "%d is not above 0", val)
	}
}
