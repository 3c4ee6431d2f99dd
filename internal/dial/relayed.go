package dial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/reach"
)

const (
	// relayTimeout bounds the opening of a connection through relays, relayStagger the time until the
	// next relay is tried as well.
	relayTimeout = time.Second
	relayStagger = 100 * time.Millisecond
)

// tunnelRequest asks an instance for a connection to an endpoint.
type tunnelRequest struct {
	Endpoint ident.Process `cbor:"1,keyasint"`
	// Timeout is how long the caller waits.
	Timeout clock.Milli `cbor:"2,keyasint"`
}

// tunnelReply answers a tunnelRequest, or tells whether an endpoint is reached.
type tunnelReply struct {
	Result reach.Result `cbor:"1,keyasint"`
	// Blind is set if the instance reaches no other endpoint either.
	Blind bool `cbor:"2,keyasint,omitempty"`
	// Withheld is set if the instance doesn't connect to the endpoint for a reason of its own.
	Withheld bool `cbor:"3,keyasint,omitempty"`
	// Unsure is set if the instance may connect to no other endpoint to see whether it reaches any.
	Unsure bool `cbor:"4,keyasint,omitempty"`
}

// setReach sets what a reply says of the instance's reach of other endpoints.
func (trp *tunnelReply) setReach(reaches, sure bool) { trp.Blind, trp.Unsure = !reaches, !sure }

// proves reports whether the reply is evidence of the endpoint's state, and not of the relay's. An instance that is
// not sure of its own reach gives such evidence of a process that ended, but not of an endpoint that isn't reached.
func (trp tunnelReply) proves() bool { return !trp.Blind && !trp.Withheld }

// relayedConn is a connection to an endpoint through a relay.
type relayedConn struct {
	*peer.Tunnel
	relay  ident.Incarnation
	closed func()
}

// Relay returns the instance that relays the connection.
func (rcn *relayedConn) Relay() ident.Incarnation { return rcn.relay }

// Close closes the connection.
func (rcn *relayedConn) Close() error {
	err := rcn.Tunnel.Close()
	rcn.closed()
	return err
}

// relayReply is the outcome of one relay.
type relayReply struct {
	relay reach.Relay
	con   *relayedConn
	reply tunnelReply
	err   error
}

// relayed connects through a relay; another one is tried if the first doesn't answer soon, or can't
// reach any endpoint itself.
func (dlr *Dialer) relayed(ctx context.Context, addr string) (net.Conn, error) {
	ep, ok := dlr.endpointAt(addr)
	if !ok {
		return nil, errUnreached
	}
	relays := dlr.chooseRelays(ep.Zone)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	replies := make(chan relayReply, len(relays))
	stagger := time.NewTicker(relayStagger)
	defer stagger.Stop()
	pending, next := 0, true
	defer func() { go discardReplies(replies, pending) }()
	for pending > 0 || len(relays) > 0 {
		if next && len(relays) > 0 {
			rel := relays[0]
			relays = relays[1:]
			pending++
			dlr.countRelay(rel.ID, (*reach.Relays).Opened)
			go func() { replies <- dlr.openTunnel(ctx, rel, ep.ID) }()
		}
		next = true
		select {
		case rrp := <-replies:
			pending--
			if rrp.con != nil {
				return dlr.established(ep, rrp), nil
			}
			if dlr.relayFailed(ctx, ep, rrp) {
				return nil, errUnreached
			}
		case <-stagger.C:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
	return nil, errUnreached
}

// openTunnel asks one relay for a connection.
func (dlr *Dialer) openTunnel(ctx context.Context, rel reach.Relay, id ident.Process) relayReply {
	rrp := relayReply{relay: rel}
	timeout := relayTimeout
	if until, ok := ctx.Deadline(); ok {
		timeout = time.Until(until)
	}
	body, err := cbor.Marshal(tunnelRequest{Endpoint: id, Timeout: clock.FromDuration(timeout)})
	if err != nil {
		dlr.countRelay(rel.ID, (*reach.Relays).Closed)
		rrp.err = err
		return rrp
	}
	ended := sync.OnceFunc(func() { dlr.countRelay(rel.ID, (*reach.Relays).Closed) })
	tnl, ans, err := dlr.set.Link.OpenTunnel(ctx, rel.ID.Addr(), peer.Message{Kind: peer.OpenTunnel, From: dlr.set.Self, To: rel.ID, Body: body})
	if tnl != nil {
		rrp.con = &relayedConn{Tunnel: tnl, relay: rel.ID, closed: ended}
		return rrp
	}
	ended()
	if rrp.err = err; err == nil {
		rrp.err = cbor.Unmarshal(ans.Body, &rrp.reply)
	}
	return rrp
}

// countRelay counts the begin or the end of the use of a relay.
func (dlr *Dialer) countRelay(relay ident.Incarnation, count func(*reach.Relays, ident.Incarnation)) {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	count(&dlr.relays, relay)
}

// established records a connection through a relay.
func (dlr *Dialer) established(ep proto.Endpoint, rrp relayReply) net.Conn {
	dlr.set.Meter.CountDial(reach.Relayed, reach.Connected)
	dlr.mtx.Lock()
	dlr.table.RecordRelayed(ep.Addr, true, dlr.set.Clock.Now())
	dlr.mtx.Unlock()
	dlr.set.Log.Debug().Str("endpoint", string(ep.ID)).Str("relay", string(rrp.relay.ID)).Msg("connected through a relay")
	dlr.startProbing()
	return rrp.con
}

// relayFailed records that a relay didn't connect, and reports whether that proves that the endpoint
// can't be reached.
func (dlr *Dialer) relayFailed(ctx context.Context, ep proto.Endpoint, rrp relayReply) bool {
	if ctx.Err() != nil {
		return false
	}
	proof := rrp.err == nil && rrp.reply.proves() && !rrp.reply.Unsure
	dlr.set.Meter.CountDial(reach.Relayed, rrp.result())
	now := dlr.set.Clock.Now()
	dlr.mtx.Lock()
	switch {
	case proof:
		dlr.table.RecordRelayed(ep.Addr, false, now)
	case !rrp.reply.Withheld && !rrp.reply.Unsure:
		dlr.relays.Avoid(rrp.relay.ID, now)
	}
	dlr.mtx.Unlock()
	dlr.set.Log.Info().AnErr("error", rrp.err).Str("endpoint", string(ep.ID)).Str("relay", string(rrp.relay.ID)).Stringer("result", rrp.reply.Result).
		Bool("blind", rrp.reply.Blind).Bool("withheld", rrp.reply.Withheld).Bool("unsure", rrp.reply.Unsure).Msg("no connection through the relay")
	return proof
}

// result returns the result of a connection that a relay didn't open.
func (rrp relayReply) result() reach.Result {
	if rrp.err != nil {
		return ResultOf(rrp.err)
	}
	return rrp.reply.Result
}

// discardReplies closes the connections of relays that are not used.
func discardReplies(replies <-chan relayReply, pending int) {
	for range pending {
		if rrp := <-replies; rrp.con != nil {
			_ = rrp.con.Close()
		}
	}
}
