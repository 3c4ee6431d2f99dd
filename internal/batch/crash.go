package batch

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
)

// crashCheckTimeout bounds the crash check of an endpoint after a failed call: the call's items
// wait for it.
const crashCheckTimeout = 400 * time.Millisecond

// crashedDuring reports whether the endpoint of a failed call crashed during the call. An endpoint
// that did not answer in time is not known to have crashed, and one that refused the connection had
// ended before the call.
func (pol *pool) crashedDuring(ctx context.Context, bat gather.Batch, err error) bool {
	var opr *net.OpError
	dialling := errors.As(err, &opr) && opr.Op == "dial"
	if err == nil || dialling || errors.Is(err, proto.ErrFull) || ctx.Err() != nil || bat.Endpoint.Leaving || pol.set.ProcessEnded == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return pol.set.ProcessEnded(ctx, bat.Endpoint.Addr)
}

// recordCrash records the crash of a call's endpoint on each order that had items in the call.
// Items of these orders are retried in batches of their own: in a shared batch, all of them would
// be suspected of the next crash as well.
func (pol *pool) recordCrash(bat gather.Batch) {
	id := ident.Process(bat.Endpoint.ID)
	for _, itm := range bat.Items {
		if ref, ok := pol.refs[itm.ID]; ok && !slices.Contains(ref.ord.crashes, id) {
			ref.ord.crashes = append(ref.ord.crashes, id)
		}
	}
	pol.set.Log.Info().Str("pool", pol.name).Str("endpoint", bat.Endpoint.ID).Int("pieces", len(bat.Items)).Msg("endpoint crashed during a call")
}
