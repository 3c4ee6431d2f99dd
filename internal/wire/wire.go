// Package wire holds the shapes of all messages in JSON: between callers and
// instances, operators and instances, instances and endpoints, instances and
// the platform. docs/PROTOCOL.md tells what each field means; the instances'
// own messages among themselves are in package peer.
//
// Field names are snake case, spans and instants are whole milliseconds.
package wire

import (
	"encoding/json"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/lease"
)

// Headers of our own. None of them is named Idempotency-Key or
// X-Idempotency-Key: Go's HTTP transport takes those names as leave to send a
// POST a second time by itself when a reused connection breaks, and a booking
// would run twice.
const (
	HeaderWorkspace = "Amv-Workspace"
	HeaderAttempt   = "Amv-Attempt"
	HeaderOutcome   = "Amv-Outcome"
	HeaderReason    = "Amv-Reason"
	HeaderLoad      = "Amv-Load"
	HeaderLeaving   = "Amv-Leaving"
	// HeaderRan with the value "no" is an endpoint's word that it refused the
	// request before any of it ran.
	HeaderRan = "Amv-Ran"
	RanNo     = "no"
)

// Submit is a caller's request.
type Submit struct {
	Request string `json:"request,omitempty"`
	Input   string `json:"input"`
	// Key and ExpiresMs name a non-idempotent request and the instant after
	// which the key is refused. First vouches that the key was never sent
	// before, to any instance.
	Key        string      `json:"key,omitempty"`
	ExpiresMs  clock.Milli `json:"expires_ms,omitempty"`
	First      bool        `json:"first,omitempty"`
	DeadlineMs clock.Milli `json:"deadline_ms,omitempty"`
	Stream     bool        `json:"stream,omitempty"`
	MaxTokens  int         `json:"max_tokens,omitempty"`
	Resume     *Resume     `json:"resume,omitempty"`
}

// Resume takes up a stream that was cut: the token that its first event gave,
// and the texts that the caller has.
type Resume struct {
	Token string   `json:"token"`
	Have  []string `json:"have"`
}

// StageTime tells how one stage of a request went.
type StageTime struct {
	Name     string      `json:"name"`
	Endpoint string      `json:"endpoint"`
	Ms       clock.Milli `json:"ms"`
	EngineMs clock.Milli `json:"engine_ms"`
	Attempts int         `json:"attempts"`
}

// Answer is an instance's answer to a request; in a stream it is the closing
// event.
type Answer struct {
	Outcome      string      `json:"outcome"`
	Reason       string      `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMs clock.Milli `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
	Output       string      `json:"output,omitempty"`
	Count        int         `json:"count,omitempty"`
	Stages       []StageTime `json:"stages,omitempty"`
	Instance     string      `json:"instance,omitempty"`
}

// Names of the events in a stream to a caller and from an engine.
const (
	EventOpen  = "open"
	EventToken = "token"
	EventEnd   = "end"
)

// Open is the first event of a stream to a caller.
type Open struct {
	RequestID string `json:"request_id"`
	Resume    string `json:"resume"`
}

// Token is one token of a stream; indexes start at 0 and have no gap.
type Token struct {
	Attempt string `json:"attempt,omitempty"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

// End closes an engine's stream and says how many tokens it had from index 0.
type End struct {
	Attempt  string      `json:"attempt"`
	Count    int         `json:"count"`
	EngineMs clock.Milli `json:"engine_ms"`
}

// Entries is the answer to "which address".
type Entries struct {
	Entries []Entry `json:"entries"`
	// KeepMs is how long the answer may be kept; an instance that stops goes
	// on serving at least so long.
	KeepMs clock.Milli `json:"keep_ms"`
}

// Entry is one address for callers, best first. Boot is the number of the
// process there, for tickets.
type Entry struct {
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	Boot string `json:"boot"`
}

// Run asks an endpoint to run a stage.
type Run struct {
	Attempt   string `json:"attempt"`
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Stage     string `json:"stage"`
	Request   string `json:"request"`
	Input     string `json:"input"`
	// Inputs are the results that a stage takes, in its document's order, if it takes
	// several; Input is empty then.
	Inputs   []string    `json:"inputs,omitempty"`
	Priority int         `json:"priority"`
	BudgetMs clock.Milli `json:"budget_ms"`
	// MaxTokens, From and Have are for generation: go on at index From after
	// the texts in Have.
	MaxTokens int      `json:"max_tokens,omitempty"`
	From      int      `json:"from,omitempty"`
	Have      []string `json:"have,omitempty"`
}

// Takes gives all that a stage takes as one text.
func (run Run) Takes() string {
	if len(run.Inputs) == 0 {
		return run.Input
	}
	return strings.Join(run.Inputs, " ")
}

// Ran is an endpoint's answer.
type Ran struct {
	Attempt  string      `json:"attempt"`
	Output   string      `json:"output"`
	EngineMs clock.Milli `json:"engine_ms"`
}

// Fail is an error answer of the platform or an endpoint.
type Fail struct {
	Error string `json:"error"`
}

// Load is an endpoint's report of itself.
type Load struct {
	Load    int    `json:"load"`
	Leaving bool   `json:"leaving"`
	Model   string `json:"model,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	// Evicted lists prefix hashes that were dropped from the cache lately.
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order tells an endpoint which model to have loaded. It states a result and
// not a step, so that a repeated or late one does no harm.
type Order struct {
	Fence int64  `json:"fence"`
	Model string `json:"model"`
}

// Append asks the log to take records, all or none, in this order.
type Append struct {
	Bodies []json.RawMessage `json:"bodies"`
}

// Appended gives the offset of the first record taken.
type Appended struct {
	First int64 `json:"first"`
}

// Trimmed is the log's answer to a read of records it has forgotten.
type Trimmed struct {
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

// Instance states.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// PoolEntry is the pool's name under which entry instances stand in the list.
const PoolEntry = "entry"

// Instance is a line of the platform's instance list.
type Instance struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Instances is the platform's instance list.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Publish asks an instance to append a document. ID names the offer, so that
// the same call may be repeated when its answer was lost.
type Publish struct {
	ID   string `json:"id"`
	Base int64  `json:"base"`
	Text string `json:"text"`
	By   string `json:"by"`
	// WaitMs is how long to wait for the document to be in force everywhere.
	WaitMs clock.Milli `json:"wait_ms"`
}

// Published is the answer: what became of the offer, and where the document is
// not in force yet.
type Published struct {
	Verdict  string      `json:"verdict"`
	Detail   string      `json:"detail,omitempty"`
	Revision int64       `json:"revision,omitempty"`
	InForce  bool        `json:"in_force"`
	Behind   []string    `json:"behind,omitempty"`
	TookMs   clock.Milli `json:"took_ms"`
}

// Document is a document in force.
type Document struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
}

// Change is a line of a service's history.
type Change struct {
	ID      string      `json:"id"`
	Offset  int64       `json:"offset"`
	Base    int64       `json:"base"`
	AtMs    clock.Milli `json:"at_ms"`
	By      string      `json:"by"`
	Verdict string      `json:"verdict"`
	Detail  string      `json:"detail,omitempty"`
}

// StatusPath is where an instance tells how it stands.
const StatusPath = "/v1/status"

// Status is what an instance tells a person of itself.
type Status struct {
	Instance  string           `json:"instance"`
	Zone      string           `json:"zone"`
	Ready     bool             `json:"ready"`
	Why       string           `json:"why,omitempty"`
	Applied   int64            `json:"applied"`
	LogAgeMs  clock.Milli      `json:"log_age_ms"`
	Members   []StatusMember   `json:"members"`
	Services  []StatusService  `json:"services"`
	Endpoints []StatusEndpoint `json:"endpoints"`
	Leases    []StatusLease    `json:"leases"`
	// Gatherers are the instances that gather pools' pieces.
	Gatherers []StatusGatherer `json:"gatherers,omitempty"`
	Refusals  map[string]int64 `json:"refusals"`
	Keys      int              `json:"keys"`
}

// StatusMember is one instance in a [Status].
type StatusMember struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Status   string `json:"status"`
	Applied  int64  `json:"applied"`
	Load     int    `json:"load"`
}

// StatusGatherer is the instance that gathers a pool's pieces, in a [Status].
type StatusGatherer struct {
	Pool     string `json:"pool"`
	Instance string `json:"instance"`
}

// StatusService is one document in a [Status].
type StatusService struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
}

// StatusEndpoint is one endpoint in a [Status].
type StatusEndpoint struct {
	Pool     string  `json:"pool"`
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
	Latency  float64 `json:"latency_ms"`
	State    string  `json:"state"`
}

// StatusLease is one lease in a [Status].
type StatusLease struct {
	Name   string      `json:"name"`
	Holder string      `json:"holder"`
	Fence  int64       `json:"fence"`
	Until  clock.Milli `json:"until_ms"`
}

// LeaseOf fills a status line from a tenure.
func LeaseOf(name string, ten lease.Tenure) StatusLease {
	return StatusLease{Name: name, Holder: string(ten.Holder()), Fence: ten.Fence(), Until: ten.Until()}
}
