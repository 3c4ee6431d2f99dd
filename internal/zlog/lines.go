package zlog

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst bound what is written at levels below error:
	// some lines a request at twice the load that one instance is made for.
	linesPerSecond = 400
	linesBurst     = 800
	// room is how many lines wait for a reader that is slow; more are dropped.
	room = 4096
)

// Lines is a bounded log that never blocks: a reader that stops reading loses
// lines, and no request waits for it. What was dropped is counted, and said with
// the next line that gets through.
type Lines struct {
	dropped atomic.Int64
	budget  *rate.Limiter
}

// timeFormat has milliseconds: a request's lines at several instances are put in
// order by it.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Open returns a logger that writes to wrt within the bounds.
func Open(wrt io.Writer, level zerolog.Level) (zerolog.Logger, *Lines) {
	zerolog.TimeFieldFormat = timeFormat
	lns := &Lines{budget: rate.NewLimiter(linesPerSecond, linesBurst)}
	buf := diode.NewWriter(wrt, room, 0, func(missed int) { lns.dropped.Add(int64(missed)) })
	return zerolog.New(buf).Level(level).With().Timestamp().Logger().Sample(lns).Hook(lns), lns
}

// Sample implements zerolog.Sampler: errors always pass.
func (lns *Lines) Sample(lvl zerolog.Level) bool {
	if lvl >= zerolog.ErrorLevel || lns.budget.Allow() {
		return true
	}
	lns.dropped.Add(1)
	return false
}

// Run implements zerolog.Hook.
func (lns *Lines) Run(evt *zerolog.Event, _ zerolog.Level, _ string) {
	if n := lns.dropped.Swap(0); n > 0 {
		evt.Int64("lines_dropped_before", n)
	}
}
