package coord

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// An endpoint asks each instance for rest by itself: the others may go on. If another instance has
// relayed the request, the endpoint knows only that one, and means it.

const (
	// maxRest bounds the rest of which another instance may tell this one.
	maxRest = 10 * clock.Minute
	// restTimeout bounds the message about a rest.
	restTimeout = time.Second
)

// restNote tells another instance of an endpoint that asked for rest.
type restNote struct {
	Endpoint ident.Process `cbor:"1,keyasint"`
	Span     clock.Milli   `cbor:"2,keyasint"`
	// Relayed is set if the receiver relayed the request. It tells the others for which it has open
	// connections to the endpoint.
	Relayed bool `cbor:"3,keyasint,omitempty"`
}

// SpreadRest tells the other instances concerned that an endpoint asked this one for rest: relay, which
// relayed the request, empty for none, and those for which this one relays connections to the endpoint.
func (crd *Coordinator) SpreadRest(id ident.Process, span clock.Milli, relay ident.Incarnation) {
	if relay != "" {
		go crd.sendRest(relay, restNote{Endpoint: id, Span: span, Relayed: true})
	}
	crd.tellOrigins(id, span, relay)
}

// tellOrigins tells the instances for which this one relays connections to an endpoint, but for one,
// that the endpoint asked for rest.
func (crd *Coordinator) tellOrigins(id ident.Process, span clock.Milli, except ident.Incarnation) {
	if crd.set.Origins == nil {
		return
	}
	for _, inc := range crd.set.Origins(id) {
		if inc != except {
			go crd.sendRest(inc, restNote{Endpoint: id, Span: span})
		}
	}
}

func (crd *Coordinator) sendRest(inc ident.Incarnation, note restNote) {
	body, err := cbor.Marshal(note)
	if err != nil || crd.set.Link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), restTimeout)
	defer cancel()
	msg := peer.Message{Kind: peer.NoteRest, From: crd.set.Control.Self(), To: inc, Body: body}
	if _, err := crd.set.Link.Call(ctx, inc.Addr(), msg); err != nil {
		crd.set.Log.Warn().Err(err).Str("endpoint", string(note.Endpoint)).Str("peer", string(inc)).Msg("telling of an endpoint's rest failed")
	}
}

// HandleRest handles the message of another instance about a rest; it is registered with the link.
func (crd *Coordinator) HandleRest(msg peer.Message) peer.Message {
	var note restNote
	if cbor.Unmarshal(msg.Body, &note) != nil || note.Span <= 0 {
		return peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	}
	note.Span = min(note.Span, maxRest-state.RestRounding)
	crd.set.Control.Rest(note.Endpoint, note.Span)
	if note.Relayed {
		crd.tellOrigins(note.Endpoint, note.Span, msg.From)
	}
	return peer.Message{Kind: peer.OK, From: crd.set.Control.Self()}
}

// withResting adds to a list of endpoints to be avoided those that asked this instance for rest.
func (crd *Coordinator) withResting(avoid []string) []string {
	rests := crd.set.Control.Rests()
	if len(rests) == 0 {
		return avoid
	}
	avoid = slices.Clone(avoid)
	for id := range rests {
		avoid = append(avoid, string(id))
	}
	return avoid
}

// RestEnd reports whether all endpoints of a pool have asked this instance for rest, and when the first
// of these rests ends. With a build, its endpoints alone count.
func (crd *Coordinator) RestEnd(pool, build string) (end clock.Milli, all bool) {
	rests := crd.set.Control.Rests()
	if len(rests) == 0 {
		return 0, false
	}
	for _, ep := range crd.set.Control.View().Endpoints() {
		if ep.Pool != pool || ep.Leaving || ep.Withheld || build != "" && ep.Build != build {
			continue
		}
		until, resting := rests[ep.ID]
		if !resting {
			return 0, false
		}
		if !all || until < end {
			end, all = until, true
		}
	}
	return end, all
}
