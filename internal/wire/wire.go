// Package wire defines the JSON messages between callers and instances, operators
// and instances, instances and endpoints, and instances and the platform.
// docs/PROTOCOL.md describes each field. The messages among instances are defined
// in package peer.
//
// Field names are in snake case; durations and instants are integers in
// milliseconds.
package wire

import (
	"encoding/json"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/lease"
)

// Headers of this protocol. None of them is named Idempotency-Key or
// X-Idempotency-Key: with those names Go's HTTP transport resends a POST by itself
// when a reused connection breaks, and a booking would run twice.
const (
	HeaderWorkspace = "Amv-Workspace"
	HeaderAttempt   = "Amv-Attempt"
	HeaderOutcome   = "Amv-Outcome"
	HeaderReason    = "Amv-Reason"
	HeaderLoad      = "Amv-Load"
	HeaderLeaving   = "Amv-Leaving"
	// HeaderExecuted with the value ExecutedNo states that the endpoint refused the
	// request before it executed any part of it.
	HeaderExecuted = "Amv-Ran"
	ExecutedNo     = "no"
)

// Submit is the body of a caller's request.
type Submit struct {
	Request string `json:"request,omitempty"`
	Input   string `json:"input"`
	// Key identifies a non-idempotent request, and ExpiresMs is the instant after
	// which the key is refused. With First the caller guarantees that it has not
	// sent the key to any instance before.
	Key        string      `json:"key,omitempty"`
	ExpiresMs  clock.Milli `json:"expires_ms,omitempty"`
	First      bool        `json:"first,omitempty"`
	DeadlineMs clock.Milli `json:"deadline_ms,omitempty"`
	Stream     bool        `json:"stream,omitempty"`
	MaxTokens  int         `json:"max_tokens,omitempty"`
	Resume     *Resume     `json:"resume,omitempty"`
}

// Resume asks to resume an interrupted stream. Token is the resume token of its
// first event, and Have are the texts that the caller has received.
type Resume struct {
	Token string   `json:"token"`
	Have  []string `json:"have"`
}

// StageTime describes the execution of one stage of a request.
type StageTime struct {
	Name     string      `json:"name"`
	Endpoint string      `json:"endpoint"`
	Ms       clock.Milli `json:"ms"`
	EngineMs clock.Milli `json:"engine_ms"`
	Attempts int         `json:"attempts"`
}

// Answer is an instance's answer to a request. In a stream it is the data of the
// last event.
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

// Names of the events in streams to callers and from engines.
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

// Token is one token of a stream. Indexes start at 0 and are contiguous.
type Token struct {
	Attempt string `json:"attempt,omitempty"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

// End is the last event of an engine's stream. Count is the number of tokens,
// counted from index 0.
type End struct {
	Attempt  string      `json:"attempt"`
	Count    int         `json:"count"`
	EngineMs clock.Milli `json:"engine_ms"`
}

// Entries is the answer to a caller's lookup of addresses.
type Entries struct {
	Entries []Entry `json:"entries"`
	// TTLMs is how long the caller may cache the answer. An instance that shuts
	// down continues to serve for at least this long.
	TTLMs clock.Milli `json:"keep_ms"`
}

// Entry is one address for callers; the best one comes first. Boot is the boot
// number of the process at that address, for tickets.
type Entry struct {
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	Boot string `json:"boot"`
}

// Run requests an endpoint to run a stage.
type Run struct {
	Attempt   string `json:"attempt"`
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Stage     string `json:"stage"`
	Request   string `json:"request"`
	Input     string `json:"input"`
	// Inputs are the inputs of a stage that takes several results, in the order of
	// its document; Input is empty then.
	Inputs   []string    `json:"inputs,omitempty"`
	Priority int         `json:"priority"`
	BudgetMs clock.Milli `json:"budget_ms"`
	// MaxTokens, From and Have apply to generation, which continues at index From
	// after the texts in Have.
	MaxTokens int      `json:"max_tokens,omitempty"`
	From      int      `json:"from,omitempty"`
	Have      []string `json:"have,omitempty"`
}

// JoinInputs returns all inputs of the stage as one text.
func (run Run) JoinInputs() string {
	if len(run.Inputs) == 0 {
		return run.Input
	}
	return strings.Join(run.Inputs, " ")
}

// RunResult is an endpoint's answer to a [Run].
type RunResult struct {
	Attempt  string      `json:"attempt"`
	Output   string      `json:"output"`
	EngineMs clock.Milli `json:"engine_ms"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Load is an endpoint's report of its load and state.
type Load struct {
	Load    int    `json:"load"`
	Leaving bool   `json:"leaving"`
	Model   string `json:"model,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	// Evicted lists hashes of prefixes that were recently evicted from the cache.
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order sets the model that an endpoint has to have loaded. It is idempotent, as
// it names the desired state and not a step: a repeated or late order is harmless.
type Order struct {
	Fence int64  `json:"fence"`
	Model string `json:"model"`
}

// Append requests the log to append records atomically, in this order.
type Append struct {
	Bodies []json.RawMessage `json:"bodies"`
}

// Appended is the answer to an [Append]: the offset of the first record.
type Appended struct {
	First int64 `json:"first"`
}

// Trimmed is the log's answer to a read of trimmed records: the offsets at which
// the log now starts and ends.
type Trimmed struct {
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

// States of an instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// PoolEntry is the pool of the entry instances in the platform's instance list.
const PoolEntry = "entry"

// Instance is an entry of the platform's instance list.
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

// Publish requests an instance to append a document. ID identifies the request, so
// that it can be repeated if its answer is lost.
type Publish struct {
	ID   string `json:"id"`
	Base int64  `json:"base"`
	Text string `json:"text"`
	By   string `json:"by"`
	// WaitMs bounds the wait for the document to be in force on all instances.
	WaitMs clock.Milli `json:"wait_ms"`
}

// Published is the answer to a [Publish]: the verdict, and in Behind the instances
// where the document is not in force yet.
type Published struct {
	Verdict  string      `json:"verdict"`
	Detail   string      `json:"detail,omitempty"`
	Revision int64       `json:"revision,omitempty"`
	InForce  bool        `json:"in_force"`
	Behind   []string    `json:"behind,omitempty"`
	TookMs   clock.Milli `json:"took_ms"`
}

// Document is a service document in force.
type Document struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
}

// Change is an entry of a service's history.
type Change struct {
	ID      string      `json:"id"`
	Offset  int64       `json:"offset"`
	Base    int64       `json:"base"`
	AtMs    clock.Milli `json:"at_ms"`
	By      string      `json:"by"`
	Verdict string      `json:"verdict"`
	Detail  string      `json:"detail,omitempty"`
}

// StatusPath is the path of an instance's status.
const StatusPath = "/v1/status"

// Status is the status of an instance, for operators.
type Status struct {
	Instance       string           `json:"instance"`
	Zone           string           `json:"zone"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"why,omitempty"`
	Applied        int64            `json:"applied"`
	LogAgeMs       clock.Milli      `json:"log_age_ms"`
	Members        []StatusMember   `json:"members"`
	Services       []StatusService  `json:"services"`
	Endpoints      []StatusEndpoint `json:"endpoints"`
	Leases         []StatusLease    `json:"leases"`
	// Coordinators are the coordinators of pools.
	Coordinators []StatusCoordinator `json:"gatherers,omitempty"`
	// Queues has the queues of requests that wait for slots at this instance.
	Queues   []StatusQueue    `json:"queues,omitempty"`
	Refusals map[string]int64 `json:"refusals"`
	Keys     int              `json:"keys"`
	// Evacuated are the evacuated data centres.
	Evacuated []StatusEvacuation `json:"evacuated,omitempty"`
}

// StatusEvacuation is one evacuated data centre in a [Status], with the number of its endpoints.
type StatusEvacuation struct {
	Zone      string      `json:"zone"`
	SinceMs   clock.Milli `json:"since_ms"`
	Endpoints int         `json:"endpoints"`
}

// StatusMember is one instance in a [Status].
type StatusMember struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Status   string `json:"status"`
	Applied  int64  `json:"applied"`
	Load     int    `json:"load"`
}

// StatusQueue is the queue of a pool at its coordinator in a [Status].
type StatusQueue struct {
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	// OldestMs is the longest time that a request has waited, PaceMs the mean time between grants; zero if it
	// is unknown.
	OldestMs clock.Milli `json:"oldest_ms"`
	PaceMs   float64     `json:"pace_ms"`
}

// StatusCoordinator is the coordinator of a pool in a [Status].
type StatusCoordinator struct {
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
	// ColdLeftMs is how much longer the endpoint is cold, in milliseconds.
	ColdLeftMs int64 `json:"cold_left_ms,omitempty"`
	// PacePct is by how much the endpoint's reported pace scales its expected times, in percent; zero if it
	// doesn't.
	PacePct int `json:"pace_pct,omitempty"`
}

// StatusLease is one lease in a [Status].
type StatusLease struct {
	Name   string      `json:"name"`
	Holder string      `json:"holder"`
	Fence  int64       `json:"fence"`
	Until  clock.Milli `json:"until_ms"`
}

// NewStatusLease returns the status of a lease with its current tenure.
func NewStatusLease(name string, ten lease.Tenure) StatusLease {
	return StatusLease{Name: name, Holder: string(ten.Holder()), Fence: ten.Fence(), Until: ten.Until()}
}
