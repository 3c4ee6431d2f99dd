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
	publishPollInterval = 20 * time.Millisecond
	// decisionTimeout bounds the time until the record of an offer is read back.
	decisionTimeout = 15 * time.Second
	// maxInForceWait bounds how long a publisher may wait until a document is in force at all
	// instances.
	maxInForceWait = clock.Minute
)

// Publish offers a document to the log and returns the outcome: whether the replicated state
// machine accepted it, and whether it is in force at every live instance.
//
// An append whose answer is lost is resolved by reading back: the offer is decided once the
// state machine has applied a record with its id. If that does not happen in time, the verdict
// is undecided, and the call may be repeated with the same id; the offer takes effect once.
func (ctl *Control) Publish(ctx context.Context, service string, pub wire.Publish) wire.Published {
	began := ctl.set.Clock.Now()
	doc, fts := svcdoc.Parse([]byte(pub.Text))
	if doc == nil {
		return wire.Published{Verdict: oplog.Invalid.String(), Detail: fts.Err().Error()}
	}
	if doc.Name() != service {
		return wire.Published{Verdict: oplog.Invalid.String(), Detail: "name: the document belongs to service " + doc.Name()}
	}
	dec, ok := ctl.decide(ctx, service, pub)
	if !ok {
		return wire.Published{
			Verdict: oplog.Undecided.String(), TookMs: ctl.set.Clock.Since(began),
			Detail: "the log did not confirm the offer; repeat the call with the same id to learn the outcome",
		}
	}
	ans := wire.Published{Verdict: dec.Verdict().String(), Detail: dec.Detail()}
	if dec.Verdict() == oplog.Accepted {
		ans.Revision = dec.Offset()
		ans.InForce, ans.Behind = ctl.awaitInForce(ctx, dec.Offset(), min(pub.WaitMs, maxInForceWait))
	}
	ans.TookMs = ctl.set.Clock.Since(began)
	return ans
}

func (ctl *Control) decide(ctx context.Context, service string, pub wire.Publish) (oplog.Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	until := ctl.set.Clock.Now() + clock.FromDuration(decisionTimeout)
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
		if !feed.Sleep(ctx, publishPollInterval) {
			return oplog.Decision{}, false
		}
	}
}

// awaitInForce waits until every instance has applied the offset.
func (ctl *Control) awaitInForce(ctx context.Context, offset int64, wait clock.Milli) (bool, []string) {
	until := ctl.set.Clock.Now() + wait
	for {
		var lagging []ident.Incarnation
		if !ctl.Do(ctx, func(now clock.Milli) { lagging = ctl.docs.behind(offset, now) }) {
			return false, nil
		}
		if len(lagging) == 0 {
			return true, nil
		}
		if ctl.set.Clock.Now() >= until || !feed.Sleep(ctx, publishPollInterval) {
			names := make([]string, len(lagging))
			for i, who := range lagging {
				names[i] = string(who)
			}
			return false, names
		}
	}
}

// SnapshotNow appends all documents again immediately, as takeSnapshot does by age, and returns
// the number of records.
func (ctl *Control) SnapshotNow(ctx context.Context) int {
	count, _ := loop.Get(ctx, ctl.loop, func(now clock.Milli) int { return ctl.docs.reappend(now, now+1) })
	return count
}

// History returns the last decisions on a service's documents.
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

// Status returns the status of the instance for operators.
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
	if full, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) wire.Status { return ctl.fill(st, now) }); ok {
		st = full
	}
	for name, dvr := range vw.Docs() {
		st.Services = append(st.Services, wire.StatusService{Service: name, Revision: dvr.Revision()})
	}
	st.Endpoints = ctl.endpointStatus()
	sortStatus(&st)
	return st
}

// fill adds the state owned by the control loop to a status.
func (ctl *Control) fill(st wire.Status, now clock.Milli) wire.Status {
	st.LogAgeMs = now - ctl.docs.logAsOf
	st.Keys = ctl.claims.ldg.Len()
	for name, ten := range ctl.leases.table.All() {
		st.Leases = append(st.Leases, wire.NewStatusLease(name, ten))
	}
	for _, mbr := range ctl.members.list.All() {
		st.Members = append(st.Members, wire.StatusMember{
			Instance: string(mbr.ID()), Zone: mbr.Zone(), Status: mbr.Status().String(), Applied: mbr.Applied(), Load: mbr.Load(),
		})
	}
	return st
}
