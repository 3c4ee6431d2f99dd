package batch

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
)

// endedWait bounds the look at the endpoint of a call that failed: the call's pieces wait for it.
const endedWait = 400 * time.Millisecond

// endedIn tells whether the endpoint of a call that failed has ended while it had the call. One
// that gave no answer in time hasn't, as far as is known, and one that took no connection had
// ended before.
func (pol *pool) endedIn(ctx context.Context, bat gather.Batch, err error) bool {
	var opr *net.OpError
	dialling := errors.As(err, &opr) && opr.Op == "dial"
	if err == nil || dialling || errors.Is(err, talk.ErrFull) || ctx.Err() != nil || bat.Maker.Leaving || pol.set.Ended == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, endedWait)
	defer cancel()
	return pol.set.Ended(ctx, bat.Maker.Addr)
}

// endedUnder notes that the endpoint of a call has ended, for each order that had pieces in it.
// What is sent again of these goes by itself: in one call again they would all be
// suspected of the next end too.
func (pol *pool) endedUnder(bat gather.Batch) {
	id := ident.Process(bat.Maker.ID)
	for _, pc := range bat.Pieces {
		if slt, ok := pol.slots[pc.ID]; ok && !slices.Contains(slt.ord.ends, id) {
			slt.ord.ends = append(slt.ord.ends, id)
		}
	}
	pol.set.Log.Info().Str("pool", pol.name).Str("endpoint", bat.Maker.ID).Int("pieces", len(bat.Pieces)).Msg("endpoint ended in a call")
}
