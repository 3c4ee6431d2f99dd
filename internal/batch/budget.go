package batch

import (
	"time"

	"golang.org/x/time/rate"
)

// budget is the retry budget of a pool. Items whose results were lost are recomputed out of a share
// of the items ordered: a fixed reserve alone makes a busy pool refuse requests whose inputs could
// still be recomputed in time. All other retries, and recomputation beyond that share, draw on the
// reserve. It is not safe for concurrent use.
type budget struct {
	share     float64
	maxCredit float64
	credit    float64
	reserve   *rate.Limiter
}

func newBudget(set Setup) budget {
	return budget{
		share: set.Share, maxCredit: set.Reserve / 2,
		reserve: rate.NewLimiter(rate.Limit(set.Reserve/2/set.Window.Seconds()), int(set.Reserve/2)),
	}
}

// earn adds the credit for items that are ordered for the first time.
func (bdg *budget) earn(items int) {
	bdg.credit = min(bdg.credit+bdg.share*float64(items), bdg.maxCredit)
}

// allowRecompute reports whether the given number of items whose results were lost may be
// recomputed, and deducts them.
func (bdg *budget) allowRecompute(items int) bool {
	if bdg.credit >= float64(items) {
		bdg.credit -= float64(items)
		return true
	}
	return bdg.reserve.AllowN(time.Now(), items)
}

// allowRetry reports whether an item that failed may be sent again. It draws on the reserve only:
// items rejected for lack of result storage are many when storage is short, and more retries would
// take storage from other items.
func (bdg *budget) allowRetry() bool { return bdg.reserve.Allow() }
