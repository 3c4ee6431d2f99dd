package batch

import (
	"time"

	"golang.org/x/time/rate"
)

// budget bounds the pieces of a pool that are sent again. Those whose results were lost are
// made again within a share of the pieces that were ordered: by a reserve alone a busy pool
// refuses requests whose inputs could be had in time. All others, and what goes beyond the
// share, have a reserve. It is not safe for concurrent use.
type budget struct {
	share   float64
	most    float64
	credit  float64
	reserve *rate.Limiter
}

func newBudget(set Setup) budget {
	return budget{
		share: set.Share, most: set.Reserve / 2,
		reserve: rate.NewLimiter(rate.Limit(set.Reserve/2/set.Window.Seconds()), int(set.Reserve/2)),
	}
}

// ordered notes pieces that are made for the first time.
func (bdg *budget) ordered(pieces int) {
	bdg.credit = min(bdg.credit+bdg.share*float64(pieces), bdg.most)
}

// remake asks for so many pieces to be made again whose results were lost.
func (bdg *budget) remake(pieces int) bool {
	if bdg.credit >= float64(pieces) {
		bdg.credit -= float64(pieces)
		return true
	}
	return bdg.reserve.AllowN(time.Now(), pieces)
}

// repeat asks for a piece to be sent again that was not made. Those that find no room are
// many where room is short, and more of them take it from the others.
func (bdg *budget) repeat() bool { return bdg.reserve.Allow() }
