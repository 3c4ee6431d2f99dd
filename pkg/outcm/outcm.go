package outcm

import (
	"fmt"
	"net/http"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Outcome,Reason -linecomment -output=outcm_string.go

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. The zero value is that of a request in progress.
const (
	Pending Outcome = iota // pending
	Done                   // done
	NotRun                 // not_run
	Unknown                // unknown
	Failed                 // failed
)

// Reason is the cause of an outcome.
type Reason int

// The reasons.
const (
	None               Reason = iota // none
	Recorded                         // recorded
	BadRequest                       // bad_request
	UnknownService                   // unknown_service
	UnknownWorkspace                 // unknown_workspace
	UnknownRequestKind               // unknown_request_kind
	KeyMissing                       // key_missing
	KeyConflict                      // key_conflict
	KeyExpired                       // key_expired
	KeyHolderGone                    // key_holder_gone
	TicketElsewhere                  // ticket_elsewhere
	LogUnavailable                   // log_unavailable
	StaleView                        // stale_view
	Stopping                         // stopping
	WorkspaceRate                    // workspace_rate
	WorkspaceBusy                    // workspace_busy
	QueueFull                        // queue_full
	DeadlineTooShort                 // deadline_too_short
	DeadlinePassed                   // deadline_passed
	NoEndpoint                       // no_endpoint
	RetryBudget                      // retry_budget
	StageFailed                      // stage_failed
	StageRefused                     // stage_refused
	ConnectionCut                    // connection_cut
	StreamCut                        // stream_cut
	WrongAttempt                     // wrong_attempt
	CallerGone                       // caller_gone
	AnswerLost                       // answer_lost
	BadResume                        // bad_resume
	Internal                         // internal
	NoRoute                          // no_route
	BadToken                         // bad_token
	HeaderTooLarge                   // header_too_large
	BodyTooLarge                     // body_too_large
	Hopeless                         // hopeless
	Crowded                          // crowded
	Quarantined                      // quarantined
	BuildUnknown                     // build_unknown
	BuildGone                        // build_gone
)

// Reasons returns all reasons, for the counters and for tests that must cover every reason.
func Reasons() []Reason {
	all := make([]Reason, 0, int(BuildGone)+1)
	for rs := None; rs <= BuildGone; rs++ {
		all = append(all, rs)
	}
	return all
}

// ParseOutcome is the inverse of Outcome.String.
func ParseOutcome(text string) (Outcome, error) {
	for oc := Pending; oc <= Failed; oc++ {
		if oc.String() == text {
			return oc, nil
		}
	}
	return Pending, fmt.Errorf("outcome %q: not one of done, not_run, unknown, failed", text)
}

// ParseReason is the inverse of Reason.String.
func ParseReason(text string) (Reason, error) {
	for _, rs := range Reasons() {
		if rs.String() == text {
			return rs, nil
		}
	}
	return None, fmt.Errorf("reason %q: not a known reason", text)
}

// Result is an outcome with its reason and, for a refusal, the retry-after delay. The zero
// value is a pending request.
type Result struct {
	outcome    Outcome
	reason     Reason
	retryAfter clock.Milli
	detail     string
}

// New returns a result without a retry-after delay.
func New(oc Outcome, rs Reason, detail string) Result {
	return Result{outcome: oc, reason: rs, detail: detail}
}

// Refuse returns a refusal: nothing ran, and the caller may retry after the given delay.
func Refuse(rs Reason, retryAfter clock.Milli, detail string) Result {
	return Result{outcome: NotRun, reason: rs, retryAfter: retryAfter, detail: detail}
}

// OK returns the result of a request that ran and was answered.
func OK() Result { return Result{outcome: Done} }

// Outcome returns the outcome of the request.
func (res Result) Outcome() Outcome { return res.outcome }

// Reason returns the cause of the outcome.
func (res Result) Reason() Reason { return res.reason }

// RetryAfter returns the retry-after delay; zero if there is none.
func (res Result) RetryAfter() clock.Milli { return res.retryAfter }

// Detail returns a description for people; programs use the reason.
func (res Result) Detail() string { return res.detail }

// IsRefusal reports whether nothing ran.
func (res Result) IsRefusal() bool { return res.outcome == NotRun }

// QualifyRefusal limits a refusal of a non-idempotent request to what is known. "not_run"
// applies to the request and not to this attempt: an instance that has not looked up the
// key can't know whether an earlier attempt, sent to another instance, ran. Unless the
// caller declares that the key was never sent before (first) or the key was looked up in
// the log (lookedUp), a refusal becomes unknown. Otherwise a caller that repeats a timed-out
// booking at an overloaded instance would be answered "not run", book by telephone and have
// two crews in one block.
func (res Result) QualifyRefusal(first, lookedUp bool) Result {
	if res.outcome != NotRun || first || lookedUp {
		return res
	}
	res.outcome = Unknown
	res.detail = "this attempt did not run; whether an earlier one ran is unknown: " + res.detail
	return res
}

// Status returns the HTTP status code of the result.
func (res Result) Status() int {
	if res.outcome == Done {
		return http.StatusOK
	}
	if code, ok := statusOf[res.reason]; ok {
		return code
	}
	return defaultStatus[res.outcome]
}

var statusOf = map[Reason]int{
	BadRequest:         http.StatusBadRequest,
	KeyMissing:         http.StatusBadRequest,
	BadResume:          http.StatusBadRequest,
	UnknownService:     http.StatusNotFound,
	UnknownRequestKind: http.StatusNotFound,
	UnknownWorkspace:   http.StatusForbidden,
	NoRoute:            http.StatusNotFound,
	BadToken:           http.StatusUnauthorized,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge:       http.StatusRequestEntityTooLarge,
	KeyConflict:        http.StatusConflict,
	KeyExpired:         http.StatusGone,
	TicketElsewhere:    http.StatusMisdirectedRequest,
	WorkspaceRate:      http.StatusTooManyRequests,
	WorkspaceBusy:      http.StatusTooManyRequests,
	DeadlinePassed:     http.StatusGatewayTimeout,
	StageFailed:        http.StatusBadGateway,
	StreamCut:          http.StatusBadGateway,
}

var defaultStatus = map[Outcome]int{
	NotRun:  http.StatusServiceUnavailable,
	Unknown: http.StatusGatewayTimeout,
	Failed:  http.StatusBadGateway,
}
