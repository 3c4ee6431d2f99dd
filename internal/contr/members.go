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

// membersCtl keeps the list of instances.
type membersCtl struct {
	ctl     *Control
	list    *member.List
	group   group.Group
	changed bool
	demand  map[ident.Incarnation]map[string]float64
}

// open makes the controller of an instance that knows only itself.
func (mct *membersCtl) open(ctl *Control, now clock.Milli) {
	mct.ctl = ctl
	mct.list = member.New(ctl.set.Self, ctl.set.Zone, ctl.set.CallerAddr, now)
	mct.group = group.Group{
		Self: ctl.set.Self, List: mct.list, Link: ctl.set.Link, Offer: ctl.loop.Offer, Go: ctl.loop.Go,
		Now: ctl.set.Clock.Now, Attach: mct.dress, OnMessage: mct.heard,
	}
}

func (mct *membersCtl) step(now clock.Milli) {
	mct.list.SetSelf(mct.ctl.docs.reg.Applied(), int(mct.ctl.load.Load()), mct.ctl.leaving, now)
	mct.group.Tick(now)
	mct.keepDemands()
	mct.changed = true
}

// dress adds what rides along on probes and their answers.
func (mct *membersCtl) dress(msg *peer.Message) {
	msg.Leaving, msg.Demand = mct.ctl.endpts.lately(), mct.ctl.endpts.demand()
}

// heard takes what rode along.
func (mct *membersCtl) heard(msg peer.Message, _, now clock.Milli) {
	mct.changed = true
	for _, name := range msg.Leaving {
		mct.ctl.endpts.heardLeaving(name, now)
	}
	if mct.demand == nil {
		mct.demand = map[ident.Incarnation]map[string]float64{}
	}
	if len(msg.Demand) > 0 || mct.demand[msg.From] != nil {
		mct.demand[msg.From] = msg.Demand
	}
}

// Handle answers another instance; it is given to the link.
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

// answer takes a message on the control thread.
func (ctl *Control) answer(msg peer.Message, now clock.Milli) peer.Message {
	ctl.members.group.Receive(msg, now, now)
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	switch msg.Kind {
	case peer.Probe:
		return ctl.members.group.Message(peer.OK, msg.From)
	case peer.GetState:
		if body, ok := ctl.docs.stateFor(); ok {
			ans.Kind, ans.Body = peer.OK, body
		}
	case peer.GetAnswer:
		if text, ok := ctl.claims.answers[string(msg.Body)]; ok {
			ans.Kind, ans.Body = peer.OK, []byte(text)
		}
	}
	return ans
}
