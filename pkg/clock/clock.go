package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Milli is an instant (milliseconds since the Unix epoch) or a duration in milliseconds,
// depending on the variable.
type Milli int64

// Common durations.
const (
	Second Milli = 1000
	Minute       = 60 * Second
	Hour         = 60 * Minute
	Day          = 24 * Hour
)

// FromDuration returns the whole milliseconds of d, rounded towards zero.
func FromDuration(d time.Duration) Milli { return Milli(d.Milliseconds()) }

// Duration converts a duration to the type of the standard library.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts an instant to the type of the standard library, in UTC.
func (m Milli) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Seconds returns the duration in seconds.
func (m Milli) Seconds() float64 { return float64(m) / float64(Second) }

// Clock is a source of the current time. The zero value reads the machine's clock.
type Clock struct {
	now func() Milli
}

// New returns a clock that calls now, for tests.
func New(now func() Milli) Clock { return Clock{now: now} }

// Now returns the current time. It never decreases within a process: the wall clock is read
// once at start, and the time elapsed on a monotonic clock is added to it. Otherwise an
// expired lease would be valid again when an operator sets the wall clock back.
//
// The monotonic clock includes the time for which the machine was suspended. The usual one
// does not, and a lease or a view that expired meanwhile would be valid for a process that
// resumes.
func (c Clock) Now() Milli {
	if c.now != nil {
		return c.now()
	}
	return monotonic.at(sinceBoot())
}

// Since returns the time elapsed since then.
func (c Clock) Since(then Milli) Milli { return c.Now() - then }

// Until returns the time left until an instant of the runtime's timers and contexts; zero if it has
// passed.
func (c Clock) Until(at time.Time) Milli { return max(FromDuration(time.Until(at)), 0) }

// Deadline converts an instant of this clock for the runtime's timers and contexts. The
// result is up to a millisecond later and never earlier, since this clock's instants are
// rounded down.
func (c Clock) Deadline(at Milli) time.Time {
	// In this order: a pause between the two readings makes the result later.
	left := at + 1 - c.Now()
	return time.Now().Add(left.Duration())
}

// origin maps a reading of the machine's clock since boot to an instant.
type origin struct {
	instant Milli
	reading time.Duration
}

func (org origin) at(reading time.Duration) Milli {
	return org.instant + FromDuration(reading-org.reading)
}

var monotonic = origin{instant: Milli(time.Now().UnixMilli()), reading: sinceBoot()}

// sinceBoot returns the time since the machine's boot, including suspended time.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic(err)
	}
	return time.Duration(spec.Nano())
}

// Fake is a clock that is advanced explicitly. The zero value is at the epoch. It is safe
// for concurrent use.
type Fake struct {
	at atomic.Int64
}

// Clock returns the clock that reads this fake.
func (fk *Fake) Clock() Clock {
	return New(func() Milli { return Milli(fk.at.Load()) })
}

// Advance adds d, which may be negative.
func (fk *Fake) Advance(d Milli) { fk.at.Add(int64(d)) }

// Set sets the current time.
func (fk *Fake) Set(at Milli) { fk.at.Store(int64(at)) }
