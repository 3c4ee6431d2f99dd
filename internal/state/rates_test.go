package state

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
)

// Guards against a rate that is taken for that of an endpoint which had the address before.
func TestRateOfAnAddressUsedAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, talk.Store{Endpoints: func(context.Context) ([]talk.Endpoint, []error, error) {
		return []talk.Endpoint{{ID: "ended", Addr: "a", Pool: "p"}, {ID: "there", Addr: "a", Pool: "p"}, {ID: "other", Addr: "b", Pool: "p"}}, nil, nil
	}})
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(3))
	ctl.Answered("a", talk.Reply{HasRate: true, Rate: 2}, clock.Clock{}.Now())
	gom.Eventually(func() float64 {
		rate, _ := ctl.View().Rate("there")
		return rate
	}, soon).Should(gomega.Equal(2.0))
	_, ok := ctl.View().Rate("other")
	gom.Expect(ok).To(gomega.BeFalse())
}
