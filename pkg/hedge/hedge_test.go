package hedge

import (
	"testing"

	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

// drawCase draws a case in which a hedge is as likely as each reason against it.
func drawCase(tee *rapid.T) Case {
	rare := func(name string) bool { return rapid.IntRange(0, 9).Draw(tee, name) == 0 }
	return Case{
		Share: rapid.SampledFrom([]float64{0, 0.05, 0.1, MaxShare}).Draw(tee, "share"), Repeatable: !rare("once"), Begun: rare("begun"),
		Used: rapid.IntRange(1, 3).Draw(tee, "used"), Attempts: rapid.IntRange(1, 5).Draw(tee, "attempts"),
		Suspected: rare("suspected"), Denied: rare("denied"), Released: rare("released"), Scarce: rare("scarce"),
		Delay: clock.Milli(rapid.IntRange(0, 50).Draw(tee, "delay")), Left: clock.Milli(rapid.IntRange(-50, 500).Draw(tee, "left")),
		Affordable: !rare("unaffordable"),
	}
}

// TestNeverAgainstAReason guards against a hedge of what may run once only, beyond the route's attempts, or against
// any other reason.
func TestNeverAgainstAReason(t *testing.T) {
	rapid.Check(t, func(tee *rapid.T) {
		cse := drawCase(tee)
		against := cse.Share == 0 || !cse.Repeatable || cse.Begun || cse.Used >= cse.Attempts || cse.Suspected || cse.Denied || cse.Released ||
			cse.Scarce || cse.Delay == 0 || cse.Left <= 0 || !cse.Affordable
		if reason := cse.Judge(); (reason == None) == against {
			tee.Fatalf("%+v: %s", cse, reason)
		}
	})
}

// TestBudgetHolds guards against more hedges than the share of the requests, and over any window more than what may be
// saved up in addition.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(tee *rapid.T) {
		share := rapid.Float64Range(0, MaxShare).Draw(tee, "share")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 2000).Draw(tee, "steps")
		var bdg Budget
		requests, taken := 0, 0
		// surplus is the hedges taken beyond the share, lowest its least value so far.
		surplus, lowest := 0.0, 0.0
		for _, step := range steps {
			switch {
			case step < 7:
				bdg.CountRequest(share)
				requests++
				surplus -= share
				lowest = min(lowest, surplus)
			case step == 7:
				if bdg.Take() {
					bdg.Refund()
				}
			case bdg.Take():
				taken++
				surplus++
			}
			if float64(taken) > share*float64(requests)+1e-9 || surplus-lowest > maxSaved+1e-9 {
				tee.Fatalf("%d hedges of %d requests with share %g, %g in a window", taken, requests, share, surplus-lowest)
			}
		}
	})
}

// TestDelayIsRarelyExceeded guards against a delay that more than the share of the observed times exceed.
func TestDelayIsRarelyExceeded(t *testing.T) {
	rapid.Check(t, func(tee *rapid.T) {
		share := rapid.Float64Range(0.01, MaxShare).Draw(tee, "share")
		list := rapid.SliceOfN(rapid.IntRange(0, 1000), keptTimes, 3*keptTimes).Draw(tee, "times")
		var tms Times
		for _, took := range list {
			tms.Add(clock.Milli(took), clock.Second)
		}
		tms.delay = 0
		delay := tms.Delay(share, clock.Second)
		above := 0
		for _, took := range list[len(list)-keptTimes:] {
			if clock.Milli(took) > delay {
				above++
			}
		}
		if float64(above) > share*keptTimes {
			tee.Fatalf("%d of %d times are above %d ms with share %g", above, keptTimes, delay, share)
		}
	})
}

// TestDelayNeedsRecentTimes guards against a delay from a few times, or from times of long ago.
func TestDelayNeedsRecentTimes(t *testing.T) {
	var tms Times
	for i := range minTimes {
		if delay := tms.Delay(MaxShare, clock.Second); delay != 0 {
			t.Fatalf("%d ms after %d times", delay, i)
		}
		tms.Add(100, clock.Second)
	}
	if delay := tms.Delay(MaxShare, clock.Second); delay != 120 {
		t.Fatalf("%d ms", delay)
	}
	if delay := tms.Delay(MaxShare, clock.Second+maxTimeAge+1); delay != 0 {
		t.Fatalf("%d ms from times of long ago", delay)
	}
	tms.Add(100, clock.Second+maxTimeAge+1)
	if delay := tms.Delay(MaxShare, clock.Second+maxTimeAge+1); delay != 0 {
		t.Fatalf("%d ms from one recent time", delay)
	}
}

// TestShareIsBounded guards against shares that are no numbers or above what operators were promised.
func TestShareIsBounded(t *testing.T) {
	nan := 0.0
	nan /= nan
	for share, valid := range map[float64]bool{0: true, 0.2: true, 0.21: false, -0.01: false, nan: false} {
		if ValidShare(share) != valid {
			t.Fatal(share)
		}
	}
}
