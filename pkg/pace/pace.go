// Package pace keeps how long work takes on the machine of an endpoint at the moment, as the endpoint
// reports it.
//
// Machines that are shared slow down for some hundred milliseconds at a time, so that a report loses its
// weight quickly: see [Pace.Factor]. The package does no I/O and reads no clock.
package pace

import (
	"math"

	"amaranthvalve/pkg/clock"
)

const (
	// halfAge is the age in milliseconds at which a figure has half its weight: slow periods last about
	// twice as long.
	halfAge = 300.0
	// Usual is the figure of an endpoint on which work takes as long as usual.
	Usual = 100
	// MinFigure is the lowest figure that is used.
	MinFigure = 10
	// MaxFigure is the highest figure that is used.
	MaxFigure = 10_000
)

// Figure is how long work takes on an endpoint at a time, in percent of the usual. The zero value is none.
type Figure struct {
	Percent int
	At      clock.Milli
}

// IsValid reports whether there is a figure within the limits.
func (fig Figure) IsValid() bool { return fig.Percent >= MinFigure && fig.Percent <= MaxFigure }

// Pace is the newest known figure of an endpoint. The zero value has none.
type Pace struct {
	fig Figure
}

// Report records a figure, and reports whether it was used. One that is invalid, or older than the last, is
// ignored.
func (pac *Pace) Report(fig Figure) bool {
	if !fig.IsValid() || pac.fig.IsValid() && fig.At < pac.fig.At {
		return false
	}
	pac.fig = fig
	return true
}

// Factor returns by which factor the time of work on the endpoint is expected to differ from the usual. It is
// exactly 1 without a figure, and approaches 1 as the figure ages.
func (pac Pace) Factor(now clock.Milli) float64 {
	if !pac.fig.IsValid() {
		return 1
	}
	weight := math.Exp2(-float64(max(now-pac.fig.At, 0)) / halfAge)
	return 1 + weight*(float64(pac.fig.Percent)/Usual-1)
}

// Percent returns the factor in percent, rounded.
func (pac Pace) Percent(now clock.Milli) int { return int(math.Round(Usual * pac.Factor(now))) }
