package filter

import (
	"context"
	"sync"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/contr"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/svcdoc"
)

const (
	// busyRetry is the base span to come back after, when too many requests
	// are under way.
	busyRetry = 200 * clock.Milli(1)
	// keptShare is the part of max_in_flight, in per cent, that opens with the
	// priority.
	keptShare = 30
	// rateWindow is the time over which a workspace's demand is counted.
	rateWindow = clock.Second
	// maxTables bounds the pairs of workspace and service that are remembered.
	maxTables = 16384
)

// limitFilter keeps the workspaces' limits and this instance's own.
type limitFilter struct {
	ctl  *contr.Control
	clk  clock.Clock
	most int

	mtx      sync.Mutex
	inFlight int
	tables   map[string]*table
}

// table is one workspace's state for one service at this instance.
type table struct {
	workspace string
	wsp       *limit.Workspace
	began     clock.Milli
	count     float64
	rate      float64
}

func newLimit(set Setup) *limitFilter {
	return &limitFilter{ctl: set.Control, clk: set.Clock, most: set.MaxInFlight, tables: map[string]*table{}}
}

func (lft *limitFilter) pass(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	tbl, res := lft.enter(cl)
	if res.Outcome() != outcm.Pending {
		return res
	}
	defer lft.leave(tbl)
	return next(ctx, cl)
}

func (lft *limitFilter) enter(cl *Call) (*table, outcm.Result) {
	lft.mtx.Lock()
	defer lft.mtx.Unlock()
	now := lft.clk.Now()
	if lft.inFlight >= lft.room(cl.doc.Priority()) {
		return nil, outcm.Refuse(outcm.QueueFull, retry.Jittered(busyRetry), "too many requests are under way at this instance")
	}
	tbl := lft.table(cl, now)
	tbl.seen(now)
	perSecond, burst := cl.wsp.Rate()
	tbl.wsp.Set(lft.ctl.Part(cl.Workspace, perSecond, tbl.rate), burst, cl.wsp.InFlight(), now)
	switch ver, wait := tbl.wsp.Enter(now); ver {
	case limit.TooFast:
		return nil, outcm.Refuse(outcm.WorkspaceRate, max(wait, retry.Jittered(busyRetry)), "the workspace's requests_per_second is used up")
	case limit.TooMany:
		return nil, outcm.Refuse(outcm.WorkspaceBusy, retry.Jittered(busyRetry), "the workspace's in_flight is used up at this instance")
	}
	lft.inFlight++
	lft.ctl.SetLoad(int64(lft.inFlight))
	return tbl, outcm.Result{}
}

// room gives how many requests may be under way for one more of a priority to be
// let in. The last part is kept for the higher ones: an instance that is full of
// drafts would otherwise refuse bookings.
func (lft *limitFilter) room(priority int) int {
	kept := lft.most * keptShare / 100
	return lft.most - kept + kept*priority/svcdoc.MaxPriority
}

func (lft *limitFilter) leave(tbl *table) {
	lft.mtx.Lock()
	defer lft.mtx.Unlock()
	tbl.wsp.Leave()
	lft.inFlight--
	lft.ctl.SetLoad(int64(lft.inFlight))
}

func (lft *limitFilter) table(cl *Call, now clock.Milli) *table {
	key := cl.Workspace + "/" + cl.Service
	tbl, ok := lft.tables[key]
	if !ok {
		if len(lft.tables) >= maxTables {
			clear(lft.tables)
		}
		perSecond, burst := cl.wsp.Rate()
		tbl = &table{workspace: cl.Workspace, wsp: limit.NewWorkspace(perSecond, burst, cl.wsp.InFlight()), began: now}
		lft.tables[key] = tbl
	}
	return tbl
}

// seen counts the demand, refused requests included.
func (tbl *table) seen(now clock.Milli) {
	tbl.settle(now)
	tbl.count++
}

func (tbl *table) settle(now clock.Milli) {
	span := now - tbl.began
	if span < rateWindow {
		return
	}
	tbl.rate = tbl.count / span.Seconds()
	tbl.began, tbl.count = now, 0
}

// rates gives the demand by workspace, for the other instances.
func (lft *limitFilter) rates() map[string]float64 {
	lft.mtx.Lock()
	defer lft.mtx.Unlock()
	now := lft.clk.Now()
	sums := map[string]float64{}
	for _, tbl := range lft.tables {
		tbl.settle(now)
		if tbl.rate > 0 {
			sums[tbl.workspace] += tbl.rate
		}
	}
	return sums
}
