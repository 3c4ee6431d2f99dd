package contr

import (
	"context"
	"time"

	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	probeWait    = 700 * time.Millisecond
	indirectWait = 300 * time.Millisecond
)

// membersCtl keeps the list of instances.
type membersCtl struct {
	ctl     *Control
	list    *member.List
	changed bool
	demand  map[ident.Incarnation]map[string]float64
}

func (mct *membersCtl) step(now clock.Milli) {
	mct.list.SetSelf(mct.ctl.docs.reg.Applied(), int(mct.ctl.load.Load()), mct.ctl.leaving, now)
	for _, act := range mct.list.Tick(now) {
		mct.act(act)
	}
	mct.keepDemands()
	mct.changed = true
}

func (mct *membersCtl) act(act member.Action) {
	if mct.ctl.set.Link == nil {
		return
	}
	msg := mct.message(peer.Probe, act.Target)
	to := act.Target
	if act.Kind == member.SendIndirect {
		msg.Kind, msg.Target, to = peer.Indirect, act.Target, act.Via
		msg.To = act.Via
	}
	mct.ctl.goDo(func(ctx context.Context) { mct.ask(ctx, to, act.Target, msg) })
}

func (mct *membersCtl) message(kind peer.Kind, to ident.Incarnation) peer.Message {
	return peer.Message{
		Kind: kind, From: mct.ctl.set.Self, To: to,
		News: mct.list.Gossip(to), Left: mct.ctl.endpts.lately(), Demand: mct.ctl.endpts.demand(),
	}
}

// ask sends a probe and brings the answer back as an event.
func (mct *membersCtl) ask(ctx context.Context, to, target ident.Incarnation, msg peer.Message) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	ans, err := mct.ctl.set.Link.Ask(ctx, to.Addr(), msg)
	if err != nil {
		return
	}
	mct.ctl.offer(func(now clock.Milli) {
		mct.learn(ans, now)
		if ans.From != to {
			// Somebody else answers at this address now.
			mct.list.Drop(to, now)
			return
		}
		mct.list.Ack(to, now)
		if to != target && ans.Kind == peer.OK {
			mct.list.Ack(target, now)
		}
	})
}

// greet probes an address that the platform lists, to learn who is there: its
// incarnation is not known, or it was taken for dead and may have been cut off.
func (mct *membersCtl) greet(addr string, who ident.Incarnation) {
	if mct.ctl.set.Link == nil {
		return
	}
	msg := mct.message(peer.Probe, who)
	mct.ctl.goDo(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeWait)
		defer cancel()
		if ans, err := mct.ctl.set.Link.Ask(ctx, addr, msg); err == nil {
			mct.ctl.offer(func(now clock.Milli) {
				mct.learn(ans, now)
				if who != "" && ans.From != who {
					mct.list.Drop(who, now)
				}
			})
		}
	})
}

func (mct *membersCtl) learn(msg peer.Message, now clock.Milli) {
	if mct.list.Learn(msg.News, now) {
		mct.changed = true
	}
	for _, name := range msg.Left {
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
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	if msg.Kind == peer.Indirect {
		return ctl.probeFor(ctx, msg)
	}
	ctl.Do(ctx, func(now clock.Milli) {
		ctl.members.learn(msg, now)
		switch msg.Kind {
		case peer.Probe:
			ans = ctl.members.message(peer.OK, msg.From)
		case peer.StateWanted:
			if body, ok := ctl.docs.stateFor(); ok {
				ans.Kind, ans.Body = peer.OK, body
			}
		case peer.AnswerWanted:
			if text, ok := ctl.claims.answers[string(msg.Body)]; ok {
				ans.Kind, ans.Body = peer.OK, []byte(text)
			}
		}
	})
	return ans
}

// probeFor probes a third instance for one that can't reach it.
func (ctl *Control) probeFor(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	ctx, cancel := context.WithTimeout(ctx, indirectWait)
	defer cancel()
	got, err := ctl.set.Link.Ask(ctx, msg.Target.Addr(), peer.Message{Kind: peer.Probe, From: ctl.set.Self, To: msg.Target})
	if err == nil && got.From == msg.Target {
		ans.Kind = peer.OK
		ans.News = got.News
	}
	return ans
}
