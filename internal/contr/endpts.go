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
	listEvery = time.Second
	listWait  = 2 * time.Second
	loadEvery = time.Second
	loadWait  = 500 * time.Millisecond
	// leftFor is how long a leaving endpoint is passed on to others.
	leftFor = 30 * clock.Second
	// maxLeft bounds the names in one message.
	maxLeft = 32
)

// endptsCtl keeps the pools' endpoints from the instance list. Each endpoint is
// asked for its report by one instance of its data centre.
type endptsCtl struct {
	ctl   *Control
	list  []wire.Instance
	left  map[string]clock.Milli
	rates func() map[string]float64
}

// watchList reads the instance list and keeps our own line in it.
func (ect *endptsCtl) watchList(ctx context.Context) {
	tkr := time.NewTicker(listEvery)
	defer tkr.Stop()
	for {
		ect.renew(ctx)
		rctx, cancel := context.WithTimeout(ctx, listWait)
		list, err := ect.ctl.set.Platform.List(rctx)
		cancel()
		if err == nil && !ect.ctl.Do(ctx, func(clock.Milli) { ect.take(list) }) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

func (ect *endptsCtl) renew(ctx context.Context) {
	state := wire.StateLive
	if !ect.ctl.Do(ctx, func(clock.Milli) {
		if ect.ctl.leaving {
			state = wire.StateLeaving
		}
	}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	set := ect.ctl.set
	_ = set.Platform.Put(ctx, wire.Instance{ID: lineID(string(set.Self)), Addr: set.Self.Addr(), Pool: wire.PoolEntry, Zone: set.Zone, State: state})
}

// lineID makes an incarnation fit for a path.
func lineID(inc string) string { return strings.ReplaceAll(inc, "#", "~") }

// take compares the list with what is known. An empty list of endpoints is a
// fault of the list and not the end of all endpoints: it is not taken.
func (ect *endptsCtl) take(list []wire.Instance) {
	pools := map[string][]route.Endpoint{}
	listed := map[string]bool{}
	for _, inst := range list {
		if inst.Pool == wire.PoolEntry {
			listed[inst.ID] = true
			ect.meet(inst)
			continue
		}
		_, left := ect.left[inst.Pool+"/"+inst.ID]
		leaving := left || inst.State == wire.StateLeaving
		pools[inst.Pool] = append(pools[inst.Pool], route.Endpoint{ID: inst.ID, Addr: inst.Addr, Zone: inst.Zone, Leaving: leaving})
	}
	for _, who := range ect.ctl.members.list.Unconfirmed() {
		if !listed[lineID(string(who))] {
			ect.ctl.members.list.Delist(who)
		}
	}
	if len(pools) == 0 && len(ect.list) > 0 {
		return
	}
	ect.list = list
	ect.ctl.set.Runner.Sync(pools)
}

// meet probes an instance that stands in the list and is not known to live.
func (ect *endptsCtl) meet(inst wire.Instance) {
	for _, mbr := range ect.ctl.members.list.All() {
		if lineID(string(mbr.ID())) == inst.ID {
			return
		}
	}
	for _, who := range ect.ctl.members.list.Unconfirmed() {
		if lineID(string(who)) == inst.ID {
			ect.ctl.members.group.Probe(inst.Addr, who)
			return
		}
	}
	ect.ctl.members.group.Probe(inst.Addr, "")
}

func (ect *endptsCtl) step(now clock.Milli) {
	for name, at := range ect.left {
		if now-at > leftFor {
			delete(ect.left, name)
		}
	}
}

// heardLeaving notes an endpoint that is leaving, whoever said so first, and
// passes it on with the next probes: the instance list may lag or be down.
func (ect *endptsCtl) heardLeaving(name string, now clock.Milli) {
	if _, ok := ect.left[name]; ok {
		return
	}
	ect.left[name] = now
	if pool, id, ok := strings.Cut(name, "/"); ok {
		ect.ctl.set.Runner.Leave(pool, id)
	}
}

// lately lists the endpoints that were heard to be leaving.
func (ect *endptsCtl) lately() []string {
	names := make([]string, 0, len(ect.left))
	for name := range ect.left {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[:min(len(names), maxLeft)]
}

func (ect *endptsCtl) demand() map[string]float64 {
	if ect.rates == nil {
		return nil
	}
	return ect.rates()
}

// askLoads asks the endpoints that fall to this instance for their report. What
// it is for: a leaving endpoint that nobody has sent work to lately says so
// here, and the word is passed on with the next probes. Loads are not shared:
// routing does without them, see package route.
func (ect *endptsCtl) askLoads(ctx context.Context) {
	cli := engin.New()
	tkr := time.NewTicker(loadEvery)
	defer tkr.Stop()
	for {
		var mine []wire.Instance
		if !ect.ctl.Do(ctx, func(clock.Milli) { mine = ect.mine() }) {
			return
		}
		ect.ask(ctx, cli, mine)
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

// mine lists the endpoints of our data centre that fall to us. One in a data
// centre without an instance falls to somebody all the same.
func (ect *endptsCtl) mine() []wire.Instance {
	var own []wire.Instance
	for _, inst := range ect.list {
		if inst.Pool != wire.PoolEntry && ect.ctl.members.list.OwnerIn(inst.Zone, inst.ID) == ect.ctl.set.Self {
			own = append(own, inst)
		}
	}
	return own
}

func (ect *endptsCtl) ask(ctx context.Context, cli *engin.Client, mine []wire.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	var wgr sync.WaitGroup
	for _, inst := range mine {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			rep, ok := cli.Load(ctx, inst.Addr)
			if !ok {
				return
			}
			ect.ctl.set.Runner.Report(inst.Pool, inst.ID, rep)
			if rep.Leaving {
				ect.ctl.Left(inst.Pool, inst.ID)
			}
		}()
	}
	wgr.Wait()
}
