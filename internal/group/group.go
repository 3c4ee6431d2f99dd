// Package group runs the membership protocol of one instance: it sends the probes that package
// member requests over the link, and returns the answers to the control loop.
//
// It makes no decisions about the member list, and does not interpret the data piggybacked on
// probes: the owner of the control loop adds and reads that.
package group

import (
	"context"
	"time"

	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	// probeTimeout bounds a probe, indirectTimeout one made on behalf of another instance.
	probeTimeout    = 700 * time.Millisecond
	indirectTimeout = 300 * time.Millisecond
)

// Group runs the membership protocol of one instance. Except for [Group.ProbeIndirect], its methods
// must be called on the control loop.
type Group struct {
	Self ident.Incarnation
	List *member.List
	// Link is nil for a standalone instance.
	Link *peer.Link
	// Offer queues an event on the control loop, which may drop it; Go starts a worker.
	Offer func(event func(now clock.Milli))
	Go    func(work func(ctx context.Context))
	// Now returns the current time, for the sending of a probe.
	Now func() clock.Milli
	// Attach adds piggybacked data to an outgoing message. OnMessage is called with each message
	// that arrived, and with the time at which the request that it answers was sent, zero for a
	// message that is not an answer.
	Attach    func(msg *peer.Message)
	OnMessage func(msg peer.Message, sent, now clock.Milli)
}

// Tick sends the probes that are due.
func (grp *Group) Tick(now clock.Milli) {
	for _, act := range grp.List.Tick(now) {
		grp.execute(act)
	}
}

// Suspect probes a member that did not answer a request.
func (grp *Group) Suspect(who ident.Incarnation, now clock.Milli) {
	if act, ok := grp.List.RequestProbe(who, now); ok {
		grp.execute(act)
	}
}

func (grp *Group) execute(act member.Action) {
	if grp.Link == nil {
		return
	}
	msg := grp.Message(peer.Probe, act.Target)
	to := act.Target
	if act.Kind == member.SendIndirect {
		msg.Kind, msg.Target, to = peer.IndirectProbe, act.Target, act.Via
		msg.To = act.Via
	}
	grp.Go(func(ctx context.Context) { grp.request(ctx, to, act.Target, msg) })
}

// Message returns a message with the member updates for its receiver and the piggybacked data.
func (grp *Group) Message(kind peer.Kind, to ident.Incarnation) peer.Message {
	msg := peer.Message{Kind: kind, From: grp.Self, To: to, Updates: grp.List.Updates(to)}
	if grp.Attach != nil {
		grp.Attach(&msg)
	}
	return msg
}

// request sends a probe, and returns the answer to the loop as an event.
func (grp *Group) request(ctx context.Context, to, target ident.Incarnation, msg peer.Message) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := grp.Now()
	ans, err := grp.Link.Call(ctx, to.Addr(), msg)
	if err != nil {
		return
	}
	grp.Offer(func(now clock.Milli) {
		grp.Receive(ans, sent, now)
		if ans.From != to {
			// Another instance has this address now.
			grp.List.MarkReplaced(to, now)
			return
		}
		grp.List.Ack(to, now)
		if to != target && ans.Kind == peer.OK {
			grp.List.Ack(target, now)
		}
	})
}

// Probe probes an address whose incarnation is not known, or an instance that was declared dead and
// may only have been partitioned.
func (grp *Group) Probe(addr string, who ident.Incarnation) {
	if grp.Link == nil {
		return
	}
	msg := grp.Message(peer.Probe, who)
	grp.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		sent := grp.Now()
		ans, err := grp.Link.Call(ctx, addr, msg)
		if err != nil {
			return
		}
		grp.Offer(func(now clock.Milli) {
			grp.Receive(ans, sent, now)
			if who != "" && ans.From != who {
				grp.List.MarkReplaced(who, now)
			}
		})
	})
}

// Receive applies the member updates of a message, and passes the message to OnMessage.
func (grp *Group) Receive(msg peer.Message, sent, now clock.Milli) {
	grp.List.Merge(msg.Updates, now)
	if grp.OnMessage != nil {
		grp.OnMessage(msg, sent, now)
	}
}

// ProbeIndirect probes a third instance on behalf of one that cannot reach it.
func (grp *Group) ProbeIndirect(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: grp.Self}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	got, err := grp.Link.Call(ctx, msg.Target.Addr(), peer.Message{Kind: peer.Probe, From: grp.Self, To: msg.Target})
	if err == nil && got.From == msg.Target {
		ans.Kind = peer.OK
		ans.Updates = got.Updates
	}
	return ans
}
