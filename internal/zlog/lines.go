package zlog

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst limit the lines below level error: a few lines
	// per request at twice the load that one instance is designed for.
	linesPerSecond = 400
	linesBurst     = 800
	// bufferLines is the number of lines that are buffered for a slow reader; further
	// lines are dropped.
	bufferLines = 4096
)

// Limiter limits the rate of log lines and counts the dropped ones. The log never
// blocks a request: if the reader stops reading, lines are dropped. The number of
// dropped lines is added to the next line that is written.
type Limiter struct {
	dropped atomic.Int64
	budget  *rate.Limiter
}

// timeFormat has milliseconds, because the lines of a request on several instances
// are sorted by it.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Open returns a logger that writes to wrt within the limits.
func Open(wrt io.Writer, level zerolog.Level) (zerolog.Logger, *Limiter) {
	zerolog.TimeFieldFormat = timeFormat
	lim := &Limiter{budget: rate.NewLimiter(linesPerSecond, linesBurst)}
	buf := diode.NewWriter(wrt, bufferLines, 0, func(missed int) { lim.dropped.Add(int64(missed)) })
	return zerolog.New(buf).Level(level).With().Timestamp().Logger().Sample(lim).Hook(lim), lim
}

// Sample implements zerolog.Sampler. Lines of level error or above always pass.
func (lim *Limiter) Sample(lvl zerolog.Level) bool {
	if lvl >= zerolog.ErrorLevel || lim.budget.Allow() {
		return true
	}
	lim.dropped.Add(1)
	return false
}

// Run implements zerolog.Hook. It adds the number of dropped lines.
func (lim *Limiter) Run(evt *zerolog.Event, _ zerolog.Level, _ string) {
	if n := lim.dropped.Swap(0); n > 0 {
		evt.Int64("lines_dropped_before", n)
	}
}
