package contr

import (
	"context"

	"amaranthvalve/internal/group"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// membersCtl tracks the member instances.
type membersCtl struct {
	ctl     *Control
	list    *member.List
	group   group.Group
	changed bool
	demand  map[ident.Incarnation]map[string]float64
}

// open initializes the controller with a list that has only this instance.
func (mct *membersCtl) open(ctl *Control, now clock.Milli) {
	mct.ctl = ctl
	mct.list = member.New(ctl.set.Self, ctl.set.Zone, ctl.set.CallerAddr, now)
	mct.group = group.Group{
		Self: ctl.set.Self, List: mct.list, Link: ctl.set.Link, Offer: ctl.loop.Offer, Go: ctl.loop.Go,
		Now: ctl.set.Clock.Now, Attach: mct.attach, OnMessage: mct.receive,
	}
}

func (mct *membersCtl) step(now clock.Milli) {
	mct.list.SetSelf(mct.ctl.docs.reg.Applied(), int(mct.ctl.load.Load()), mct.ctl.leaving, now)
	mct.group.Tick(now)
	mct.publishDemands()
	mct.changed = true
}

// attach adds the data piggybacked on probes and their answers.
func (mct *membersCtl) attach(msg *peer.Message) {
	msg.Leaving, msg.Demand = mct.ctl.endpts.leavingNames(), mct.ctl.endpts.demand()
}

// receive processes the data piggybacked on a message.
func (mct *membersCtl) receive(msg peer.Message, _, now clock.Milli) {
	mct.changed = true
	for _, name := range msg.Leaving {
		mct.ctl.endpts.noteLeaving(name, now)
	}
	if mct.demand == nil {
		mct.demand = map[ident.Incarnation]map[string]float64{}
	}
	if len(msg.Demand) > 0 || mct.demand[msg.From] != nil {
		mct.demand[msg.From] = msg.Demand
	}
}

// Handle answers a message of another instance. It is the handler of the peer link.
func (ctl *Control) Handle(ctx context.Context, msg peer.Message) peer.Message {
	if msg.Kind == peer.IndirectProbe {
		return ctl.members.group.ProbeIndirect(ctx, msg)
	}
	ans, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) peer.Message { return ctl.answer(msg, now) })
	if !ok {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	return ans
}

// answer handles a message on the control loop.
func (ctl *Control) answer(msg peer.Message, now clock.Milli) peer.Message {
	ctl.members.group.Receive(msg, now, now)
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	switch msg.Kind {
	case peer.Probe:
		return ctl.members.group.Message(peer.OK, msg.From)
	case peer.GetState:
		if body, ok := ctl.docs.encodeState(); ok {
			ans.Kind, ans.Body = peer.OK, body
		}
	case peer.GetAnswer:
		if text, ok := ctl.claims.answers[string(msg.Body)]; ok {
			ans.Kind, ans.Body = peer.OK, []byte(text)
		}
	}
	return ans
}
