package batch

import (
	"time"

	"golang.org/x/time/rate"
)

// budget bounds the pieces of a pool that are sent again: to a share of those that were
// ordered, and a reserve for times in which few were. By the reserve alone a busy pool,
// where the same share fails, refuses requests whose inputs could be made again in time. It
// is not safe for concurrent use.
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

// take asks for so many pieces to be sent again.
func (bdg *budget) take(pieces int) bool {
	if bdg.credit >= float64(pieces) {
		bdg.credit -= float64(pieces)
		return true
	}
	return bdg.reserve.AllowN(time.Now(), pieces)
}
