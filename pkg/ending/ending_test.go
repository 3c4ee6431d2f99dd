package ending

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

func Example() {
	for _, end := range []Ending{NothingSent, Refused, Cut} {
		fmt.Println(end, end.RanNothing(), end.Cause())
	}
	// Output:
	// nothing_sent true nothing_sent
	// refused true refused
	// cut false cut
}

// TestRanNothing: a caller that is answered "not run" repeats its booking elsewhere. An
// ending that merely suggests that nothing ran would book twice; only three endings prove
// it.
func TestRanNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	for end := Answered; end <= Withheld; end++ {
		gom.Expect(end.RanNothing()).To(gomega.Equal(end == NothingSent || end == Refused || end == Withheld), end.String())
	}
}

// TestVerdicts: an endpoint that exceeds every caller's time must be judged by that,
// whereas a caller that disconnects is no evidence about its endpoint.
func TestVerdicts(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(GaveUp.RouteOutcome(true)).To(gomega.Equal(route.Overload))
	gom.Expect(GaveUp.RouteOutcome(false)).To(gomega.Equal(route.Cancelled))
	gom.Expect(Withheld.RouteOutcome(false)).To(gomega.Equal(route.Cancelled))
	gom.Expect(Refused.RouteOutcome(false)).To(gomega.Equal(route.Overload))
	gom.Expect(Answered.RouteOutcome(false)).To(gomega.Equal(route.Success))
	for _, end := range []Ending{NothingSent, Errored, Cut, Foreign, Unsigned} {
		gom.Expect(end.RouteOutcome(false)).To(gomega.Equal(route.Failure), end.String())
	}
}

// TestCauses: each repeat is counted by its cause; an ending without an explicit cause
// would be counted as a connection that was not established.
func TestCauses(t *testing.T) {
	gom := gomega.NewWithT(t)
	want := map[Ending]retry.Cause{
		NothingSent: retry.NothingSent, Refused: retry.Refused, Errored: retry.Cut, Cut: retry.Cut,
		Foreign: retry.WrongAnswer, Unsigned: retry.WrongAnswer, GaveUp: retry.Cut, Withheld: retry.NothingSent,
	}
	for end, cause := range want {
		gom.Expect(end.Cause()).To(gomega.Equal(cause), end.String())
	}
}

// TestBroken: a connection that breaks as the caller disconnects counts as given up, not as
// a failure of the endpoint, whatever error the connection reports.
func TestBroken(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	gom.Expect(Broken(ctx)).To(gomega.Equal(Cut))
	cancel()
	gom.Expect(Broken(ctx)).To(gomega.Equal(GaveUp))
}
