package contr

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthvalve/internal/engin"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

const (
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// leavingTTL is how long a leaving endpoint is reported to other instances.
	leavingTTL = 30 * clock.Second
	// maxLeaving bounds the endpoint names in one message.
	maxLeaving = 32
)

// endptsCtl tracks the endpoints of the pools from the instance list. The report of each
// endpoint is requested by one instance of its data centre.
type endptsCtl struct {
	ctl     *Control
	list    []wire.Instance
	leaving map[string]clock.Milli
	rates   func() map[string]float64
}

// watchList reads the instance list periodically and renews the instance's own entry.
func (ect *endptsCtl) watchList(ctx context.Context) {
	tkr := time.NewTicker(listInterval)
	defer tkr.Stop()
	for {
		ect.renewEntry(ctx)
		rctx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := ect.ctl.set.Platform.List(rctx)
		cancel()
		if err == nil && !ect.ctl.Do(ctx, func(clock.Milli) { ect.applyList(list) }) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

func (ect *endptsCtl) renewEntry(ctx context.Context) {
	state := wire.StateLive
	if !ect.ctl.Do(ctx, func(clock.Milli) {
		if ect.ctl.leaving {
			state = wire.StateLeaving
		}
	}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	set := ect.ctl.set
	_ = set.Platform.Put(ctx, wire.Instance{ID: entryID(string(set.Self)), Addr: set.Self.Addr(), Pool: wire.PoolEntry, Zone: set.Zone, State: state})
}

// entryID returns an incarnation in a form that is valid in a URL path.
func entryID(inc string) string { return strings.ReplaceAll(inc, "#", "~") }

// applyList applies an instance list. A list without endpoints is ignored if endpoints are
// known: it is more likely a fault of the list than the end of all endpoints.
func (ect *endptsCtl) applyList(list []wire.Instance) {
	pools := map[string][]route.Endpoint{}
	listed := map[string]bool{}
	for _, inst := range list {
		if inst.Pool == wire.PoolEntry {
			listed[inst.ID] = true
			ect.probeListed(inst)
			continue
		}
		_, left := ect.leaving[inst.Pool+"/"+inst.ID]
		leaving := left || inst.State == wire.StateLeaving
		pools[inst.Pool] = append(pools[inst.Pool], route.Endpoint{ID: inst.ID, Addr: inst.Addr, Zone: inst.Zone, Leaving: leaving})
	}
	for _, who := range ect.ctl.members.list.Unconfirmed() {
		if !listed[entryID(string(who))] {
			ect.ctl.members.list.Delist(who)
		}
	}
	if len(pools) == 0 && len(ect.list) > 0 {
		return
	}
	ect.list = list
	ect.ctl.set.Runner.Sync(pools)
}

// probeListed probes a listed instance that is not known to be live.
func (ect *endptsCtl) probeListed(inst wire.Instance) {
	for _, mbr := range ect.ctl.members.list.All() {
		if entryID(string(mbr.ID())) == inst.ID {
			return
		}
	}
	for _, who := range ect.ctl.members.list.Unconfirmed() {
		if entryID(string(who)) == inst.ID {
			ect.ctl.members.group.Probe(inst.Addr, who)
			return
		}
	}
	ect.ctl.members.group.Probe(inst.Addr, "")
}

func (ect *endptsCtl) step(now clock.Milli) {
	for name, at := range ect.leaving {
		if now-at > leavingTTL {
			delete(ect.leaving, name)
		}
	}
}

// noteLeaving records that an endpoint is leaving and reports it to the other instances with
// the next probes, because the instance list may lag or be unavailable.
func (ect *endptsCtl) noteLeaving(name string, now clock.Milli) {
	if _, ok := ect.leaving[name]; ok {
		return
	}
	ect.leaving[name] = now
	if pool, id, ok := strings.Cut(name, "/"); ok {
		ect.ctl.set.Runner.Leave(pool, id)
	}
}

// leavingNames lists the endpoints that are known to be leaving.
func (ect *endptsCtl) leavingNames() []string {
	names := make([]string, 0, len(ect.leaving))
	for name := range ect.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[:min(len(names), maxLeaving)]
}

func (ect *endptsCtl) demand() map[string]float64 {
	if ect.rates == nil {
		return nil
	}
	return ect.rates()
}

// pollLoads requests the reports of the endpoints that this instance owns. It detects a leaving
// endpoint that has not received work recently, which is then reported to the other instances
// with the next probes. Loads are not shared: routing does not need them, see package route.
func (ect *endptsCtl) pollLoads(ctx context.Context) {
	cli := ect.ctl.newClient()
	tkr := time.NewTicker(loadInterval)
	defer tkr.Stop()
	for {
		var own []wire.Instance
		if !ect.ctl.Do(ctx, func(clock.Milli) { own = ect.owned() }) {
			return
		}
		ect.queryLoads(ctx, cli, own)
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

// owned lists the endpoints that this instance owns, normally those of its data centre. An
// endpoint in a data centre without an instance is owned by an instance of another one.
func (ect *endptsCtl) owned() []wire.Instance {
	var own []wire.Instance
	for _, inst := range ect.list {
		if inst.Pool != wire.PoolEntry && ect.ctl.members.list.OwnerIn(inst.Zone, inst.ID) == ect.ctl.set.Self {
			own = append(own, inst)
		}
	}
	return own
}

func (ect *endptsCtl) queryLoads(ctx context.Context, cli *engin.Client, own []wire.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var wgr sync.WaitGroup
	for _, inst := range own {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			rep, ok := cli.Load(ctx, inst.Addr)
			if !ok {
				return
			}
			ect.ctl.set.Runner.Report(inst.Pool, inst.ID, rep)
			if rep.Leaving {
				ect.ctl.ReportLeaving(inst.Pool, inst.ID)
			}
		}()
	}
	wgr.Wait()
}
