// Package meter counts what the daemon does, for operators.
//
// Every refusal reason and every retry cause has its own counter from the
// start, at zero, so that an alarm can be written before the first one happens.
// Label values come from closed sets or from service documents; a workspace's
// name is a label only if a document names it, because a caller could otherwise
// fill the memory with made-up names. docs/OPERATIONS.md tells for each alarm
// which counter to watch.
package meter

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
)

const namespace = "amv"

// Meter holds the counters of one instance.
type Meter struct {
	reg      *prometheus.Registry
	outcomes *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	request  *prometheus.HistogramVec
	stage    *prometheus.HistogramVec
	cost     *prometheus.CounterVec
	wasted   *prometheus.CounterVec
	events   *prometheus.CounterVec
	gauges   *prometheus.GaugeVec

	mtx    sync.Mutex
	counts map[string]int64
}

// buckets span the design's times: a stage of some milliseconds to a deadline
// of 12 s, in seconds.
var buckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 12, 30}

// Names of the events that are counted without further labels.
const (
	EventDropped      = "control_event_dropped"
	EventLogBack      = "log_answered_older_end"
	EventLogTrimmed   = "log_offset_trimmed"
	EventLogError     = "log_error"
	EventAppendRepeat = "append_repeated"
	EventAppendDrop   = "append_dropped"
	EventPeerRefused  = "peer_refused"
	EventStateTaken   = "state_taken_from_peer"
	EventOrderSent    = "order_sent"
	EventOrderRefused = "order_refused"
	EventLateRelease  = "claim_released_late"
	EventForeign      = "foreign_answer_dropped"
	EventEntrySkipped = "endpoint_entry_skipped"
	EventFactEvicted  = "fact_evicted"
)

var events = []string{
	EventDropped, EventLogBack, EventLogTrimmed, EventLogError, EventAppendRepeat, EventAppendDrop, EventPeerRefused,
	EventStateTaken, EventOrderSent, EventOrderRefused, EventLateRelease, EventForeign, EventEntrySkipped, EventFactEvicted,
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
)

// New returns counters at zero.
func New() *Meter {
	mtr := &Meter{reg: prometheus.NewRegistry(), counts: map[string]int64{}}
	mtr.outcomes = mtr.counter("requests_total", "Requests by service and outcome.", "service", "outcome")
	mtr.refusals = mtr.counter("refusals_total", "Requests not answered whole, by outcome and reason.", "outcome", "reason")
	mtr.retries = mtr.counter("retries_total", "Stage attempts after the first, by cause.", "cause")
	mtr.cost = mtr.counter("stage_engine_ms_total", "Endpoint time spent, milliseconds.", "service", "stage")
	mtr.wasted = mtr.counter("stage_wasted_ms_total", "Endpoint time spent on attempts whose result nobody used, milliseconds.", "service", "stage")
	mtr.events = mtr.counter("events_total", "Notable events by kind.", "kind")
	mtr.request = mtr.histogram("request_seconds", "Time from a request's arrival to its answer.", "service")
	mtr.stage = mtr.histogram("stage_seconds", "Time of a stage's successful attempt, waiting included.", "service", "stage")
	mtr.gauges = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "state", Help: "State of the instance by name."}, []string{"name"})
	mtr.reg.MustRegister(mtr.gauges, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mtr.zero()
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

func (mtr *Meter) zero() {
	for oc := outcm.NotRun; oc <= outcm.Failed; oc++ {
		for _, rs := range outcm.Reasons() {
			mtr.refusals.WithLabelValues(oc.String(), rs.String())
		}
	}
	for _, cause := range retry.Causes() {
		mtr.retries.WithLabelValues(cause.String())
	}
	for _, kind := range events {
		mtr.events.WithLabelValues(kind)
	}
}

// Handler serves the counters in Prometheus' text format.
func (mtr *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(mtr.reg, promhttp.HandlerOpts{})
}

// Answered counts a request's end. service is empty when no document names it.
func (mtr *Meter) Answered(service string, res outcm.Result, took clock.Milli) {
	mtr.outcomes.WithLabelValues(service, res.Outcome().String()).Inc()
	mtr.request.WithLabelValues(service).Observe(took.Seconds())
	if res.Outcome() == outcm.Done {
		return
	}
	mtr.refusals.WithLabelValues(res.Outcome().String(), res.Reason().String()).Inc()
	mtr.mtx.Lock()
	mtr.counts[res.Outcome().String()+"/"+res.Reason().String()]++
	mtr.mtx.Unlock()
}

// Refusals gives the requests not answered whole, by "outcome/reason".
func (mtr *Meter) Refusals() map[string]int64 {
	mtr.mtx.Lock()
	defer mtr.mtx.Unlock()
	all := make(map[string]int64, len(mtr.counts))
	for key, n := range mtr.counts {
		all[key] = n
	}
	return all
}

// Retried counts an attempt after the first.
func (mtr *Meter) Retried(cause retry.Cause) { mtr.retries.WithLabelValues(cause.String()).Inc() }

// Staged counts a stage's successful attempt.
func (mtr *Meter) Staged(service, stage string, took, engine clock.Milli) {
	mtr.stage.WithLabelValues(service, stage).Observe(took.Seconds())
	mtr.cost.WithLabelValues(service, stage).Add(float64(engine))
}

// Wasted counts endpoint time whose result nobody used.
func (mtr *Meter) Wasted(service, stage string, took clock.Milli) {
	mtr.cost.WithLabelValues(service, stage).Add(float64(took))
	mtr.wasted.WithLabelValues(service, stage).Add(float64(took))
}

// Event counts a notable event.
func (mtr *Meter) Event(kind string) { mtr.events.WithLabelValues(kind).Inc() }

// Set sets a gauge.
func (mtr *Meter) Set(name string, val float64) { mtr.gauges.WithLabelValues(name).Set(val) }
