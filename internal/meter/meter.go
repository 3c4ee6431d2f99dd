// Package meter provides the Prometheus metrics of the daemon.
//
// Every refusal reason and every retry cause has its own counter, which starts at
// zero, so that an alert can be defined before the first occurrence. Label values
// come from closed sets or from service documents; a workspace's name is a label
// only if a document names it, because callers could otherwise exhaust the memory
// with invented names. docs/OPERATIONS.md lists the metrics for each alert.
package meter

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/hedge"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/reach"
	"amaranthvalve/pkg/retry"
)

const namespace = "amv"

// Meter holds the metrics of one instance.
type Meter struct {
	reg         *prometheus.Registry
	outcomes    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	requestTime *prometheus.HistogramVec
	stageTime   *prometheus.HistogramVec
	engineMs    *prometheus.CounterVec
	wastedMs    *prometheus.CounterVec
	events      *prometheus.CounterVec
	dials       *prometheus.CounterVec
	hedges      *prometheus.CounterVec
	answers     *prometheus.CounterVec
	gauges      *prometheus.GaugeVec
	shed        *prometheus.CounterVec

	mtx     sync.Mutex
	refused map[string]int64
}

// buckets, in seconds, cover the times of the design, from a stage of a few
// milliseconds to a deadline of 12 s. Documents may set longer deadlines.
var buckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 12, 30}

// Kinds of events, counted by kind alone.
const (
	EventDropped       = "control_event_dropped"
	EventLogStale      = "log_answered_older_end"
	EventLogTrimmed    = "log_offset_trimmed"
	EventLogError      = "log_error"
	EventAppendRepeat  = "append_repeated"
	EventAppendDrop    = "append_dropped"
	EventPeerRefused   = "peer_refused"
	EventStateTaken    = "state_taken_from_peer"
	EventOrderSent     = "order_sent"
	EventOrderRefused  = "order_refused"
	EventLateRelease   = "claim_released_late"
	EventForeignAnswer = "foreign_answer_dropped"
	EventEntrySkipped  = "endpoint_entry_skipped"
	EventListIgnored   = "endpoint_list_ignored"
	EventPaused        = "process_paused"
	EventFactEvicted   = "fact_evicted"
	EventStoreRestored = "store_came_back_from_copy"
	EventRest          = "endpoint_rest"
	EventRestOfNone    = "endpoint_rest_of_none"
	// EventWithheld: a request, batch or connection was withheld at the last check because its endpoint's
	// data centre is evacuated. EventRecordSkipped: an operator's record is invalid.
	EventWithheld      = "evacuated_endpoint_withheld"
	EventRecordSkipped = "operator_record_skipped"
	// EventPartQuarantined: a part of prompts is refused because endpoints crashed with it in flight.
	EventPartQuarantined = "part_quarantined"
	// EventUnbounded: an answer of an endpoint exceeded a bound of size or time, and its connection was closed.
	EventUnbounded = "endpoint_answer_unbounded"
)

var events = []string{
	EventDropped, EventLogStale, EventLogTrimmed, EventLogError, EventAppendRepeat, EventAppendDrop, EventPeerRefused,
	EventStateTaken, EventOrderSent, EventOrderRefused, EventLateRelease, EventForeignAnswer, EventEntrySkipped, EventListIgnored, EventPaused, EventFactEvicted, EventStoreRestored, EventRest, EventRestOfNone, EventPartQuarantined,
	EventWithheld, EventRecordSkipped, EventUnbounded,
}

// Names of the gauges.
const (
	GaugeApplied    = "applied_offset"
	GaugeLogAge     = "log_age_ms"
	GaugeMembers    = "members_live"
	GaugeReady      = "ready"
	GaugeKeys       = "keys_remembered"
	GaugeInFlight   = "requests_in_flight"
	GaugeQueue      = "requests_waiting"
	GaugeEventQueue = "control_events_waiting"
	GaugeSevered    = "endpoints_reached_by_relay"
	GaugeBlind      = "blind"
	GaugeEvacuated  = "evacuated_data_centres"
	GaugeCold       = "endpoints_cold"
	// GaugeGrantQueue is the number of requests of all instances that wait here for slots, GaugeGrantWait the
	// longest time that one of them has waited, in milliseconds.
	GaugeGrantQueue = "requests_waiting_for_grant"
	GaugeGrantWait  = "grant_oldest_wait_ms"
)

// New returns a meter whose counters are zero.
func New() *Meter {
	mtr := &Meter{reg: prometheus.NewRegistry(), refused: map[string]int64{}}
	mtr.outcomes = mtr.counter("requests_total", "Requests by service and outcome.", "service", "outcome")
	mtr.refusals = mtr.counter("refusals_total", "Requests not answered whole, by outcome and reason.", "outcome", "reason")
	mtr.retries = mtr.counter("retries_total", "Stage attempts after the first, by cause.", "cause")
	mtr.engineMs = mtr.counter("stage_engine_ms_total", "Endpoint time spent, milliseconds.", "service", "stage")
	mtr.wastedMs = mtr.counter("stage_wasted_ms_total", "Endpoint time spent on attempts whose result nobody used, milliseconds.", "service", "stage")
	mtr.hedges = mtr.counter("hedges_total", "Hedged requests, by result: sent, won, lost, failed, or the reason for which none was sent.", "result")
	mtr.dials = mtr.counter("endpoint_dials_total", "Connections opened to endpoints, by path and result.", "path", "result")
	mtr.answers = mtr.counter("endpoint_answers_total", "Answers of endpoints to final calls, by the framing and the end of their bodies.", "framing", "end")
	mtr.events = mtr.counter("events_total", "Notable events by kind.", "kind")
	mtr.shed = mtr.counter("requests_shed_total", "Requests refused on arrival because their stages would end too late, by rank; 0 is the most urgent.", "rank")
	mtr.requestTime = mtr.histogram("request_seconds", "Time from a request's arrival to its answer.", "service")
	mtr.stageTime = mtr.histogram("stage_seconds", "Time of a stage's successful attempt, waiting included.", "service", "stage")
	mtr.gauges = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "state", Help: "State of the instance by name."}, []string{"name"})
	mtr.reg.MustRegister(mtr.gauges, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mtr.initLabels()
	return mtr
}

func (mtr *Meter) counter(name, help string, labels ...string) *prometheus.CounterVec {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	mtr.reg.MustRegister(vec)
	return vec
}

func (mtr *Meter) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	mtr.reg.MustRegister(vec)
	return vec
}

func (mtr *Meter) initLabels() {
	for oc := outcm.NotRun; oc <= outcm.Failed; oc++ {
		for _, rs := range outcm.Reasons() {
			mtr.refusals.WithLabelValues(oc.String(), rs.String())
		}
	}
	for _, cause := range retry.Causes() {
		mtr.retries.WithLabelValues(cause.String())
	}
	for _, result := range []string{HedgeSent, HedgeWon, HedgeLost, HedgeFailed} {
		mtr.hedges.WithLabelValues(result)
	}
	for _, reason := range hedge.Reasons() {
		mtr.hedges.WithLabelValues(reason.String())
	}
	for _, path := range reach.Paths() {
		for _, res := range reach.Results() {
			mtr.dials.WithLabelValues(path.String(), res.String())
		}
	}
	for _, frm := range ending.Framings() {
		for _, end := range ending.BodyEnds() {
			mtr.answers.WithLabelValues(frm.String(), end.String())
		}
	}
	for _, kind := range events {
		mtr.events.WithLabelValues(kind)
	}
}

// Handler serves the metrics in the Prometheus text format.
func (mtr *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(mtr.reg, promhttp.HandlerOpts{})
}

// CountRequest counts a finished request. service is empty if no document names it.
func (mtr *Meter) CountRequest(service string, res outcm.Result, took clock.Milli) {
	mtr.outcomes.WithLabelValues(service, res.Outcome().String()).Inc()
	mtr.requestTime.WithLabelValues(service).Observe(took.Seconds())
	if res.Outcome() == outcm.Done {
		return
	}
	mtr.refusals.WithLabelValues(res.Outcome().String(), res.Reason().String()).Inc()
	mtr.mtx.Lock()
	mtr.refused[res.Outcome().String()+"/"+res.Reason().String()]++
	mtr.mtx.Unlock()
}

// CountShed counts a request of a rank that was refused because its stages would end too late.
func (mtr *Meter) CountShed(rank int) { mtr.shed.WithLabelValues(strconv.Itoa(rank)).Inc() }

// Refusals returns the number of requests that did not complete, by
// "outcome/reason".
func (mtr *Meter) Refusals() map[string]int64 {
	mtr.mtx.Lock()
	defer mtr.mtx.Unlock()
	all := make(map[string]int64, len(mtr.refused))
	for key, n := range mtr.refused {
		all[key] = n
	}
	return all
}

// CountRetry counts a retry.
func (mtr *Meter) CountRetry(cause retry.Cause) { mtr.retries.WithLabelValues(cause.String()).Inc() }

// RecordStage records a successful attempt of a stage.
func (mtr *Meter) RecordStage(service, stage string, took, engine clock.Milli) {
	mtr.stageTime.WithLabelValues(service, stage).Observe(took.Seconds())
	mtr.engineMs.WithLabelValues(service, stage).Add(float64(engine))
}

// AddWasted adds endpoint time that was spent on an unused result.
func (mtr *Meter) AddWasted(service, stage string, took clock.Milli) {
	mtr.engineMs.WithLabelValues(service, stage).Add(float64(took))
	mtr.wastedMs.WithLabelValues(service, stage).Add(float64(took))
}

// CountEvent counts an event by its kind.
func (mtr *Meter) CountEvent(kind string) { mtr.events.WithLabelValues(kind).Inc() }

// CountDial counts an attempt to open a connection to an endpoint, by its path and its result.
func (mtr *Meter) CountDial(path reach.Path, res reach.Result) {
	mtr.dials.WithLabelValues(path.String(), res.String()).Inc()
}

// Results of hedges that were sent; those that were not are counted by the names of their reasons.
const (
	HedgeSent   = "sent"
	HedgeWon    = "won"
	HedgeLost   = "lost"
	HedgeFailed = "failed"
)

// CountHedge counts a hedge by its result.
func (mtr *Meter) CountHedge(result string) { mtr.hedges.WithLabelValues(result).Inc() }

// CountAnswer counts an answer of an endpoint to a final call.
func (mtr *Meter) CountAnswer(frm ending.Framing, end ending.BodyEnd) {
	mtr.answers.WithLabelValues(frm.String(), end.String()).Inc()
}

// SetGauge sets a gauge by name.
func (mtr *Meter) SetGauge(name string, val float64) { mtr.gauges.WithLabelValues(name).Set(val) }
