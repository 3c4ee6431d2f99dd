package front

import (
	"context"

	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/poison"
)

// mark names the request by what stays the same when its caller sends it again.
func (cl *call) mark() poison.Mark {
	cl.marking.Do(func() { cl.marked = poison.MarkOf(cl.http.Host, cl.http.RequestURI, cl.wsp, cl.req.Body) })
	return cl.marked
}

// wasCut examines an endpoint that has cut off an attempt: whether it has ended, or only the
// connection.
func (fr *Front) wasCut(cl *call, tgt homes.Seat) {
	mrk := cl.mark()
	go func() {
		ended := relay.Ended(context.Background(), tgt.Addr)
		fr.set.Log.Info().Str("request", cl.ask.ID).Stringer("mark", mrk).Str("workspace", cl.wsp).Str("pool", cl.pool.Name()).
			Str("endpoint", string(tgt.ID)).Bool("ended", ended).Msg("cut off")
	}()
}
