package model

// Spec tells how an engine works.
type Spec struct {
	// Step is the time of a step, Stream what each stream adds, in milliseconds.
	Step   float64
	Stream float64
	// Reads is how many tokens are read in a millisecond, Pairs the milliseconds that a
	// million pairs of tokens add.
	Reads float64
	Pairs float64
	// Chunk is how many tokens of a prompt a step reads at most, Stride how many tokens
	// an event holds.
	Chunk  int
	Stride int
	// Slow is how many times as long as planned everything takes.
	Slow float64
	// Memory is how many tokens of prompts it keeps.
	Memory int
}

// Dense is a model of 70 billion parameters on two accelerators.
func Dense() Spec {
	return Spec{Step: 4.23, Stream: 0.0008, Reads: 64.2, Pairs: 0.647, Chunk: 1024, Stride: 5, Slow: 1, Memory: 490_000}
}

// Request is a prompt to be read and an answer to be made.
type Request struct {
	ID string
	// Parts are the names of the prompt's parts that others share, in order, Sizes their
	// tokens.
	Parts []string
	Sizes []int
	// In and Out are the tokens of the prompt and of the answer.
	In  int
	Out int
}

// Answer is how a request fared, in milliseconds.
type Answer struct {
	ID string
	// First is the instant of its first event, End that of the last, Pause the longest
	// time between two events.
	First float64
	End   float64
	Pause float64
}

// work is a request at an engine.
type work struct {
	req   Request
	ahead int
	left  int
	made  int
	last  float64
	ans   Answer
}

// Engine is one engine. It is made by [NewEngine].
type Engine struct {
	spec    Spec
	now     float64
	reading []*work
	running []*work
	// kept are the prompt parts that it keeps, the latest used last.
	kept []part
	// First and Done are told of first events and of ends; they may be nil.
	First func(ans Answer)
	Done  func(ans Answer)
}

type part struct {
	name   string
	tokens int
}

// NewEngine returns an engine with nothing to do.
func NewEngine(spec Spec) *Engine { return &Engine{spec: spec} }

// Add gives it a request at an instant, which is not before the last step's end.
func (eng *Engine) Add(req Request, now float64) {
	if len(eng.reading)+len(eng.running) == 0 {
		eng.now = max(eng.now, now)
	}
	held := eng.holds(req)
	eng.keep(req)
	eng.reading = append(eng.reading, &work{req: req, ahead: held, left: max(req.In-held, 1), ans: Answer{ID: req.ID}})
}

// holds gives how many tokens of a prompt's beginning it keeps.
func (eng *Engine) holds(req Request) int {
	sum := 0
	for i, name := range req.Parts {
		if !eng.keeps(name) {
			break
		}
		sum += req.Sizes[i]
	}
	return sum
}

func (eng *Engine) keeps(name string) bool {
	for _, prt := range eng.kept {
		if prt.name == name {
			return true
		}
	}
	return false
}

// keep moves a prompt's parts to the end of those that are kept, and drops the first ones
// beyond the memory.
func (eng *Engine) keep(req Request) {
	sum := 0
	var rest []part
	for _, prt := range eng.kept {
		used := false
		for _, name := range req.Parts {
			used = used || name == prt.name
		}
		if !used {
			rest = append(rest, prt)
		}
	}
	for i, name := range req.Parts {
		rest = append(rest, part{name: name, tokens: req.Sizes[i]})
	}
	for i := len(rest) - 1; i >= 0; i-- {
		if sum += rest[i].tokens; sum > eng.spec.Memory {
			rest = rest[i+1:]
			break
		}
	}
	eng.kept = rest
}

// Run works until an instant.
func (eng *Engine) Run(until float64) {
	for eng.now < until && len(eng.reading)+len(eng.running) > 0 {
		eng.step()
	}
	if len(eng.reading)+len(eng.running) == 0 {
		eng.now = max(eng.now, until)
	}
}

func (eng *Engine) step() {
	spc := eng.spec
	span := spc.Step + spc.Stream*float64(len(eng.running))
	var read *work
	if len(eng.reading) > 0 {
		read = eng.reading[0]
		chunk := min(spc.Chunk, read.left)
		span += float64(chunk)/spc.Reads + spc.Pairs*float64(chunk)*float64(read.ahead)/1e6
		read.left -= chunk
		read.ahead += chunk
	}
	eng.now += span * max(spc.Slow, 0.01)
	eng.produce()
	if read != nil && read.left == 0 {
		eng.reading = eng.reading[1:]
		eng.running = append(eng.running, read)
	}
}

// produce makes a token for each stream.
func (eng *Engine) produce() {
	var on []*work
	for _, wrk := range eng.running {
		wrk.made++
		if wrk.made%eng.spec.Stride == 0 || wrk.made >= wrk.req.Out {
			eng.event(wrk)
		}
		if wrk.made < wrk.req.Out {
			on = append(on, wrk)
			continue
		}
		wrk.ans.End = eng.now
		if eng.Done != nil {
			eng.Done(wrk.ans)
		}
	}
	eng.running = on
}

func (eng *Engine) event(wrk *work) {
	if wrk.last == 0 {
		wrk.ans.First = eng.now
		if eng.First != nil {
			eng.First(wrk.ans)
		}
	} else {
		wrk.ans.Pause = max(wrk.ans.Pause, eng.now-wrk.last)
	}
	wrk.last = eng.now
}

// Busy gives the requests that it has.
func (eng *Engine) Busy() int { return len(eng.reading) + len(eng.running) }
