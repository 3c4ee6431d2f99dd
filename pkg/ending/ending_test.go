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

// TestOnlyProofCounts: a caller that is told "not run" repeats its booking elsewhere. An
// ending that merely looks as if nothing ran would book twice; there are three that prove it.
func TestOnlyProofCounts(t *testing.T) {
	gom := gomega.NewWithT(t)
	for end := Answered; end <= Withheld; end++ {
		gom.Expect(end.RanNothing()).To(gomega.Equal(end == NothingSent || end == Refused || end == Withheld), end.String())
	}
}

// TestVerdicts: an endpoint that lets every caller's time run out answers nobody in time.
// It must be judged by that, while a caller that leaves says nothing of its endpoint.
func TestVerdicts(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(GaveUp.Verdict(true)).To(gomega.Equal(route.Overload))
	gom.Expect(GaveUp.Verdict(false)).To(gomega.Equal(route.Cancelled))
	gom.Expect(Withheld.Verdict(false)).To(gomega.Equal(route.Cancelled))
	gom.Expect(Refused.Verdict(false)).To(gomega.Equal(route.Overload))
	gom.Expect(Answered.Verdict(false)).To(gomega.Equal(route.Success))
	for _, end := range []Ending{NothingSent, Errored, Cut, Foreign, Unsigned} {
		gom.Expect(end.Verdict(false)).To(gomega.Equal(route.Failure), end.String())
	}
}

// TestCauses: each repeat is counted by why it was made; an ending without a cause of its
// own would be counted as a connection that was never had.
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

// TestBroken: a connection ends as the caller leaves. It is our own end, not the
// endpoint's, whatever the error says.
func TestBroken(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	gom.Expect(Broken(ctx)).To(gomega.Equal(Cut))
	cancel()
	gom.Expect(Broken(ctx)).To(gomega.Equal(GaveUp))
}
