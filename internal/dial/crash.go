package dial

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/reach"
)

const (
	// crashCheckInterval is the pause between two dials of an address: a process that ends closes
	// its connections and its listener one after another.
	crashCheckInterval = 50 * time.Millisecond
	// maxAccepted is the number of accepted connections after which the process counts as running,
	// maxUnanswered the number of unanswered dials after which it counts as unreachable: packets
	// get lost.
	maxAccepted   = 2
	maxUnanswered = 3
	// witnessTimeout bounds the answer of another instance.
	witnessTimeout = 300 * time.Millisecond
)

// ProcessEnded reports whether the process at an address has ended; false if that is unknown.
func (dlr *Dialer) ProcessEnded(ctx context.Context, addr string) bool {
	return dlr.CheckProcess(ctx, addr) == reach.Ended
}

// CheckProcess finds out whether the process at an address has ended: connections to it are refused,
// here and at another instance, and that one reaches other endpoints. A partition may refuse
// connections too; one instance can't tell.
func (dlr *Dialer) CheckProcess(ctx context.Context, addr string) reach.Process {
	own := dlr.observe(ctx, addr)
	if own == reach.Connected {
		return reach.Running
	}
	ep, known := dlr.endpointAt(addr)
	witnesses := dlr.chooseRelays(ep.Zone)
	if !known || len(witnesses) == 0 {
		if reaches, _ := dlr.reachesOthers(addr); own == reach.Refused && reaches {
			return reach.Ended
		}
		return reach.Unknown
	}
	for _, wit := range witnesses {
		reply, ok := dlr.askWitness(ctx, wit, ep)
		switch {
		case !ok || !reply.proves():
		case reply.Result == reach.Connected:
			return reach.Running
		case reply.Result == reach.Refused:
			return reach.Ended
		}
	}
	return reach.Unknown
}

// observe dials an address until its state is clear: refused, connected or unanswered.
func (dlr *Dialer) observe(ctx context.Context, addr string) reach.Result {
	return observe(ctx, func(ctx context.Context) reach.Result {
		con, err := dlr.direct(ctx, "tcp", addr)
		if con != nil {
			_ = con.Close()
		}
		return ResultOf(err)
	})
}

func observe(ctx context.Context, dial func(ctx context.Context) reach.Result) reach.Result {
	for accepted, unanswered := 0, 0; ; {
		switch res := dial(ctx); res {
		case reach.Refused:
			return res
		case reach.Connected:
			if accepted++; accepted >= maxAccepted {
				return res
			}
		default:
			if unanswered++; unanswered >= maxUnanswered {
				return res
			}
		}
		if !sleep(ctx, crashCheckInterval) {
			return reach.Canceled
		}
	}
}

// sleep waits for a span; it returns false if the context ended first.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// askWitness asks another instance whether it reaches an endpoint.
func (dlr *Dialer) askWitness(ctx context.Context, wit reach.Relay, ep proto.Endpoint) (tunnelReply, bool) {
	body, err := cbor.Marshal(tunnelRequest{Endpoint: ep.ID})
	if err != nil {
		return tunnelReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	ans, err := dlr.set.Link.Call(ctx, wit.ID.Addr(), peer.Message{Kind: peer.CheckEndpoint, From: dlr.set.Self, To: wit.ID, Body: body})
	var reply tunnelReply
	if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &reply) != nil {
		return tunnelReply{}, false
	}
	return reply, true
}

// HandleCheck tells another instance whether this one reaches an endpoint; it is registered with the
// link.
func (dlr *Dialer) HandleCheck(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: dlr.set.Self}
	var trq tunnelRequest
	if cbor.Unmarshal(msg.Body, &trq) != nil {
		return ans
	}
	ep, ok := dlr.endpoint(trq.Endpoint)
	if !ok {
		return ans
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply := tunnelReply{Result: dlr.observe(ctx, ep.Addr)}
	if reply.Result != reach.Connected {
		reply.setReach(dlr.reachesOthers(ep.Addr))
	}
	if body, err := cbor.Marshal(reply); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}
