// Package group keeps one instance's list of the others: it sends the probes that
// package member asks for over the link, and brings answers back to the control
// thread.
//
// It decides nothing about the list and knows nothing of what rides along on
// probes: whoever owns the control thread fills that in and reads it.
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
	// probeWait bounds a probe, and indirectWait one made for somebody else.
	probeWait    = 700 * time.Millisecond
	indirectWait = 300 * time.Millisecond
)

// Group is one instance's place among the others. Its methods belong to the
// control thread, but for [Group.ProbeFor].
type Group struct {
	Self ident.Incarnation
	List *member.List
	// Link is nil for an instance that stands alone.
	Link *peer.Link
	// Offer hands an event to the control thread, which may drop it; Go starts
	// a worker.
	Offer func(event func(now clock.Milli))
	Go    func(work func(ctx context.Context))
	// Now tells the instant at which a probe is sent.
	Now func() clock.Milli
	// Dress adds to a message what rides along on it; Heard is told of each
	// message that came, and of when the question was sent that it answers
	// (the present instant for a message that answers nothing).
	Dress func(msg *peer.Message)
	Heard func(msg peer.Message, sent, now clock.Milli)
}

// Tick sends the probes that are due.
func (grp *Group) Tick(now clock.Milli) {
	for _, act := range grp.List.Tick(now) {
		grp.act(act)
	}
}

// Doubt probes a member that gave no answer to something else.
func (grp *Group) Doubt(who ident.Incarnation, now clock.Milli) {
	if act, ok := grp.List.Doubt(who, now); ok {
		grp.act(act)
	}
}

func (grp *Group) act(act member.Action) {
	if grp.Link == nil {
		return
	}
	msg := grp.Message(peer.Probe, act.Target)
	to := act.Target
	if act.Kind == member.SendIndirect {
		msg.Kind, msg.Target, to = peer.Indirect, act.Target, act.Via
		msg.To = act.Via
	}
	grp.Go(func(ctx context.Context) { grp.ask(ctx, to, act.Target, msg) })
}

// Message makes a message with the news for its receiver.
func (grp *Group) Message(kind peer.Kind, to ident.Incarnation) peer.Message {
	msg := peer.Message{Kind: kind, From: grp.Self, To: to, News: grp.List.Gossip(to)}
	if grp.Dress != nil {
		grp.Dress(&msg)
	}
	return msg
}

// ask sends a probe and brings the answer back as an event.
func (grp *Group) ask(ctx context.Context, to, target ident.Incarnation, msg peer.Message) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	sent := grp.Now()
	ans, err := grp.Link.Ask(ctx, to.Addr(), msg)
	if err != nil {
		return
	}
	grp.Offer(func(now clock.Milli) {
		grp.Learn(ans, sent, now)
		if ans.From != to {
			// Somebody else answers at this address now.
			grp.List.Drop(to, now)
			return
		}
		grp.List.Ack(to, now)
		if to != target && ans.Kind == peer.OK {
			grp.List.Ack(target, now)
		}
	})
}

// Greet probes an address to learn who is there: its incarnation is not known, or
// it was taken for dead and may have been cut off.
func (grp *Group) Greet(addr string, who ident.Incarnation) {
	if grp.Link == nil {
		return
	}
	msg := grp.Message(peer.Probe, who)
	grp.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeWait)
		defer cancel()
		sent := grp.Now()
		ans, err := grp.Link.Ask(ctx, addr, msg)
		if err != nil {
			return
		}
		grp.Offer(func(now clock.Milli) {
			grp.Learn(ans, sent, now)
			if who != "" && ans.From != who {
				grp.List.Drop(who, now)
			}
		})
	})
}

// Learn takes what a message tells.
func (grp *Group) Learn(msg peer.Message, sent, now clock.Milli) {
	grp.List.Learn(msg.News, now)
	if grp.Heard != nil {
		grp.Heard(msg, sent, now)
	}
}

// ProbeFor probes a third instance for one that can't reach it.
func (grp *Group) ProbeFor(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: grp.Self}
	ctx, cancel := context.WithTimeout(ctx, indirectWait)
	defer cancel()
	got, err := grp.Link.Ask(ctx, msg.Target.Addr(), peer.Message{Kind: peer.Probe, From: grp.Self, To: msg.Target})
	if err == nil && got.From == msg.Target {
		ans.Kind = peer.OK
		ans.News = got.News
	}
	return ans
}
