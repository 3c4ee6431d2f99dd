package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Milli is an instant (milliseconds since the Unix epoch) or a span of
// milliseconds, as the name of the variable says.
type Milli int64

// Spans in common use.
const (
	Second Milli = 1000
	Minute       = 60 * Second
	Hour         = 60 * Minute
	Day          = 24 * Hour
)

// FromDuration gives the whole milliseconds of d, rounded down.
func FromDuration(d time.Duration) Milli { return Milli(d.Milliseconds()) }

// Duration gives the span as the standard library's type.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time gives the instant as the standard library's type, in UTC.
func (m Milli) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Seconds gives the span in seconds.
func (m Milli) Seconds() float64 { return float64(m) / float64(Second) }

// Clock tells the present instant. The zero value reads the machine's clock.
type Clock struct {
	now func() Milli
}

// New returns a clock that asks now; it is the seam for tests.
func New(now func() Milli) Clock { return Clock{now: now} }

// Now gives the present instant. It never runs backwards within a process: the
// machine's wall clock is read once, at start, and a clock that only goes on is
// added to it. A wall clock set back by an operator would otherwise make a lapsed
// lease look valid again.
//
// The clock that is added counts the time for which the machine was suspended. The
// usual steady clock doesn't, and with it a lease or a view that ran out meanwhile
// would look fresh to a process that wakes.
func (c Clock) Now() Milli {
	if c.now != nil {
		return c.now()
	}
	return onward.at(boot())
}

// Since gives the span from then to the present instant.
func (c Clock) Since(then Milli) Milli { return c.Now() - then }

// Deadline gives an instant of this clock as the runtime's timers and contexts take it. It is
// up to a millisecond later and never earlier, since this clock's instants are rounded down.
func (c Clock) Deadline(at Milli) time.Time {
	return time.Now().Add((at + 1 - c.Now()).Duration())
}

// origin ties a reading of the machine's clock since boot to an instant.
type origin struct {
	instant Milli
	reading time.Duration
}

func (org origin) at(reading time.Duration) Milli {
	return org.instant + FromDuration(reading-org.reading)
}

var onward = origin{instant: Milli(time.Now().UnixMilli()), reading: boot()}

// boot reads the machine's clock since boot, suspended time included.
func boot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic(err)
	}
	return time.Duration(spec.Nano())
}

// Fake is a clock that moves only when it is told to. The zero value stands
// at the epoch and may be used by several goroutines.
type Fake struct {
	at atomic.Int64
}

// Clock gives the clock that reads this fake.
func (fk *Fake) Clock() Clock {
	return New(func() Milli { return Milli(fk.at.Load()) })
}

// Advance moves the fake by d, which may be negative.
func (fk *Fake) Advance(d Milli) { fk.at.Add(int64(d)) }

// Set moves the fake to an instant.
func (fk *Fake) Set(at Milli) { fk.at.Store(int64(at)) }
