package model

// Spec has the performance figures of an engine.
type Spec struct {
	// StepMs is the duration of a step, StreamMs what each running stream adds to it.
	StepMs   float64
	StreamMs float64
	// TokensPerMs is the prefill rate; AttentionMs is added to a prefill for each million
	// pairs of tokens.
	TokensPerMs float64
	AttentionMs float64
	// ChunkTokens is the maximum number of prompt tokens prefilled in a step, EventTokens
	// the number of tokens in a stream event.
	ChunkTokens int
	EventTokens int
	// SlowFactor is a factor on the duration of every step.
	SlowFactor float64
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
}

// Dense returns the figures of a model with 70 billion parameters on two accelerators.
func Dense() Spec {
	return Spec{StepMs: 4.23, StreamMs: 0.0008, TokensPerMs: 64.2, AttentionMs: 0.647, ChunkTokens: 1024, EventTokens: 5, SlowFactor: 1, CacheTokens: 490_000}
}

// Request is a prompt with the length of its answer.
type Request struct {
	ID string
	// Parts are the names of the prompt's parts shared with other prompts, in order, and
	// Sizes their numbers of tokens.
	Parts []string
	Sizes []int
	// InTokens and OutTokens are the numbers of tokens of the prompt and of the answer.
	InTokens  int
	OutTokens int
}

// Timing has the times of a request's stream, in milliseconds.
type Timing struct {
	ID string
	// FirstEvent and LastEvent are the times of the first and of the last event, MaxGap is the
	// maximum gap between two events.
	FirstEvent float64
	LastEvent  float64
	MaxGap     float64
}

// work is the state of a request at an engine.
type work struct {
	req       Request
	prefilled int
	remaining int
	generated int
	lastEvent float64
	tim       Timing
}

// Engine is a simulated engine. Use [NewEngine] to create one.
type Engine struct {
	spec       Spec
	now        float64
	prefilling []*work
	decoding   []*work
	// cached is the prefix cache, with the most recently used part last.
	cached []part
	// OnFirst is called at the first event of a stream and OnDone at its end; either may be nil.
	OnFirst func(tim Timing)
	OnDone  func(tim Timing)
}

type part struct {
	name   string
	tokens int
}

// NewEngine returns an idle engine.
func NewEngine(spec Spec) *Engine { return &Engine{spec: spec} }

// SetSlowFactor sets the factor on the duration of further steps.
func (eng *Engine) SetSlowFactor(factor float64) { eng.spec.SlowFactor = factor }

// Add submits a request at a given time, not before the end of the last step.
func (eng *Engine) Add(req Request, now float64) {
	if len(eng.prefilling)+len(eng.decoding) == 0 {
		eng.now = max(eng.now, now)
	}
	cached := eng.cachedTokens(req)
	eng.cache(req)
	eng.prefilling = append(eng.prefilling, &work{req: req, prefilled: cached, remaining: max(req.InTokens-cached, 1), tim: Timing{ID: req.ID}})
}

// cachedTokens returns the length of the cached prefix of a prompt, in tokens.
func (eng *Engine) cachedTokens(req Request) int {
	sum := 0
	for i, name := range req.Parts {
		if !eng.isCached(name) {
			break
		}
		sum += req.Sizes[i]
	}
	return sum
}

func (eng *Engine) isCached(name string) bool {
	for _, prt := range eng.cached {
		if prt.name == name {
			return true
		}
	}
	return false
}

// cache adds the parts of a prompt to the cache as the most recently used ones, and evicts
// the least recently used parts beyond its capacity.
func (eng *Engine) cache(req Request) {
	sum := 0
	var kept []part
	for _, prt := range eng.cached {
		used := false
		for _, name := range req.Parts {
			used = used || name == prt.name
		}
		if !used {
			kept = append(kept, prt)
		}
	}
	for i, name := range req.Parts {
		kept = append(kept, part{name: name, tokens: req.Sizes[i]})
	}
	for i := len(kept) - 1; i >= 0; i-- {
		if sum += kept[i].tokens; sum > eng.spec.CacheTokens {
			kept = kept[i+1:]
			break
		}
	}
	eng.cached = kept
}

// Run advances the engine to a given time.
func (eng *Engine) Run(until float64) {
	for eng.now < until && len(eng.prefilling)+len(eng.decoding) > 0 {
		eng.step()
	}
	if len(eng.prefilling)+len(eng.decoding) == 0 {
		eng.now = max(eng.now, until)
	}
}

func (eng *Engine) step() {
	spc := eng.spec
	took := spc.StepMs + spc.StreamMs*float64(len(eng.decoding))
	var head *work
	if len(eng.prefilling) > 0 {
		head = eng.prefilling[0]
		chunk := min(spc.ChunkTokens, head.remaining)
		took += float64(chunk)/spc.TokensPerMs + spc.AttentionMs*float64(chunk)*float64(head.prefilled)/1e6
		head.remaining -= chunk
		head.prefilled += chunk
	}
	eng.now += took * max(spc.SlowFactor, 0.01)
	eng.decode()
	if head != nil && head.remaining == 0 {
		eng.prefilling = eng.prefilling[1:]
		eng.decoding = append(eng.decoding, head)
	}
}

// decode generates a token for each running stream.
func (eng *Engine) decode() {
	var active []*work
	for _, wrk := range eng.decoding {
		wrk.generated++
		if wrk.generated%eng.spec.EventTokens == 0 || wrk.generated >= wrk.req.OutTokens {
			eng.emit(wrk)
		}
		if wrk.generated < wrk.req.OutTokens {
			active = append(active, wrk)
			continue
		}
		wrk.tim.LastEvent = eng.now
		if eng.OnDone != nil {
			eng.OnDone(wrk.tim)
		}
	}
	eng.decoding = active
}

func (eng *Engine) emit(wrk *work) {
	if wrk.lastEvent == 0 {
		wrk.tim.FirstEvent = eng.now
		if eng.OnFirst != nil {
			eng.OnFirst(wrk.tim)
		}
	} else {
		wrk.tim.MaxGap = max(wrk.tim.MaxGap, eng.now-wrk.lastEvent)
	}
	wrk.lastEvent = eng.now
}

// Busy returns the number of requests at the engine.
func (eng *Engine) Busy() int { return len(eng.prefilling) + len(eng.decoding) }
