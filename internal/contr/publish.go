package contr

import (
	"context"
	"time"

	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/svcdoc"
)

const (
	publishPoll = 20 * time.Millisecond
	// decideWait bounds the time until an offer's record is read back.
	decideWait = 15 * time.Second
	// maxInForceWait bounds how long a publisher may wait for everybody.
	maxInForceWait = clock.Minute
)

// Publish offers a document to the log and tells what became of it: whether the
// fold accepted it, and whether it is in force at every live instance.
//
// An append whose answer is lost is settled by reading back: the offer is
// decided when the fold has met its id. If that does not happen in time the
// verdict is undecided, and the same call with the same id may be repeated; the
// offer counts once.
func (ctl *Control) Publish(ctx context.Context, service string, pub wire.Publish) wire.Published {
	began := ctl.set.Clock.Now()
	doc, fts := svcdoc.Parse([]byte(pub.Text))
	if doc == nil {
		return wire.Published{Verdict: oplog.Invalid.String(), Detail: fts.Err().Error()}
	}
	if doc.Name() != service {
		return wire.Published{Verdict: oplog.Invalid.String(), Detail: "name: the document is of service " + doc.Name()}
	}
	dec, ok := ctl.decide(ctx, service, pub)
	if !ok {
		return wire.Published{
			Verdict: oplog.Undecided.String(), TookMs: ctl.set.Clock.Since(began),
			Detail: "the log did not confirm the offer; repeat it with the same id to learn what became of it",
		}
	}
	ans := wire.Published{Verdict: dec.Verdict().String(), Detail: dec.Detail()}
	if dec.Verdict() == oplog.Accepted {
		ans.Revision = dec.Offset()
		ans.InForce, ans.Behind = ctl.awaitForce(ctx, dec.Offset(), min(pub.WaitMs, maxInForceWait))
	}
	ans.TookMs = ctl.set.Clock.Since(began)
	return ans
}

func (ctl *Control) decide(ctx context.Context, service string, pub wire.Publish) (oplog.Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, decideWait)
	defer cancel()
	until := ctl.set.Clock.Now() + clock.FromDuration(decideWait)
	ent := oplog.Entry{Kind: oplog.KindOffer, ID: pub.ID, Service: service, Text: pub.Text, Base: pub.Base, By: pub.By}
	sent := false
	for {
		var dec oplog.Decision
		found := false
		if !ctl.Do(ctx, func(clock.Milli) {
			dec, found = ctl.docs.reg.Find(pub.ID)
			if !found && !sent {
				sent = ctl.docs.offer(ent, until)
			}
		}) {
			return oplog.Decision{}, false
		}
		if found && dec.Verdict() != oplog.Undecided {
			return dec, true
		}
		if !feed.Sleep(ctx, publishPoll) {
			return oplog.Decision{}, false
		}
	}
}

// awaitForce waits until every instance goes by the offset or newer.
func (ctl *Control) awaitForce(ctx context.Context, offset int64, wait clock.Milli) (bool, []string) {
	until := ctl.set.Clock.Now() + wait
	for {
		var late []ident.Incarnation
		if !ctl.Do(ctx, func(now clock.Milli) { late = ctl.docs.behind(offset, now) }) {
			return false, nil
		}
		if len(late) == 0 {
			return true, nil
		}
		if ctl.set.Clock.Now() >= until || !feed.Sleep(ctx, publishPoll) {
			names := make([]string, len(late))
			for i, who := range late {
				names[i] = string(who)
			}
			return false, names
		}
	}
}

// SnapshotNow appends all documents again at once and gives the number of
// records; it is what takeSnapshot does when they grow old.
func (ctl *Control) SnapshotNow(ctx context.Context) int {
	count, _ := loop.Get(ctx, ctl.loop, func(now clock.Milli) int { return ctl.docs.appendAgain(now, now+1) })
	return count
}

// History gives a service's last decisions.
func (ctl *Control) History(ctx context.Context, service string) []wire.Change {
	list, ok := loop.Get(ctx, ctl.loop, func(clock.Milli) []wire.Change {
		list := []wire.Change{}
		for _, dec := range ctl.docs.reg.History(service) {
			list = append(list, wire.Change{
				ID: dec.ID(), Offset: dec.Offset(), Base: dec.Base(), AtMs: dec.At(), By: dec.By(),
				Verdict: dec.Verdict().String(), Detail: dec.Detail(),
			})
		}
		return list
	})
	if !ok {
		return []wire.Change{}
	}
	return list
}

// Status tells a person how the instance stands.
func (ctl *Control) Status(ctx context.Context) wire.Status {
	vw := ctl.View()
	st := wire.Status{
		Instance: string(ctl.set.Self), Zone: ctl.set.Zone, Applied: vw.Applied(),
		Members: []wire.StatusMember{}, Services: []wire.StatusService{}, Endpoints: []wire.StatusEndpoint{},
		Leases: []wire.StatusLease{}, Refusals: ctl.set.Meter.Refusals(),
	}
	st.Ready, st.NotReadyReason = vw.Ready(ctl.set.Clock.Now())
	if ctl.Stopping() {
		st.Ready, st.NotReadyReason = false, outcm.Stopping.String()
	}
	if told, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) wire.Status { return ctl.fill(st, now) }); ok {
		st = told
	}
	for name, hld := range vw.Docs() {
		st.Services = append(st.Services, wire.StatusService{Service: name, Revision: hld.Revision()})
	}
	st.Endpoints = ctl.endpointStatus()
	sortStatus(&st)
	return st
}

// fill adds what the control thread knows to a status.
func (ctl *Control) fill(st wire.Status, now clock.Milli) wire.Status {
	st.LogAgeMs = now - ctl.docs.logAsOf
	st.Keys = ctl.claims.ldg.Len()
	for name, ten := range ctl.leases.book.All() {
		st.Leases = append(st.Leases, wire.NewStatusLease(name, ten))
	}
	for _, mbr := range ctl.members.list.All() {
		st.Members = append(st.Members, wire.StatusMember{
			Instance: string(mbr.ID()), Zone: mbr.Zone(), Status: mbr.Status().String(), Applied: mbr.Applied(), Load: mbr.Load(),
		})
	}
	return st
}
