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
	// busyRetryAfter is the base of the retry-after delay if too many requests are in flight.
	busyRetryAfter = 200 * clock.Milli(1)
	// reservedPercent is the part of max_in_flight, in per cent, that becomes available in
	// proportion to the priority.
	reservedPercent = 30
	// rateWindow is the period over which the demand of a workspace is counted.
	rateWindow = clock.Second
	// maxTables bounds the number of tables, one for each pair of workspace and service.
	maxTables = 16384
)

// limitFilter enforces the limits of the workspaces and of this instance.
type limitFilter struct {
	ctl         *contr.Control
	clk         clock.Clock
	maxInFlight int

	mtx      sync.Mutex
	inFlight int
	tables   map[string]*table
}

// table is the state of one workspace for one service at this instance.
type table struct {
	workspace   string
	wsp         *limit.Workspace
	windowStart clock.Milli
	count       float64
	rate        float64
}

func newLimit(set Setup) *limitFilter {
	return &limitFilter{ctl: set.Control, clk: set.Clock, maxInFlight: set.MaxInFlight, tables: map[string]*table{}}
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
	if lft.inFlight >= lft.maxInFlightFor(cl.doc.Priority()) {
		return nil, outcm.Refuse(outcm.QueueFull, retry.Jittered(busyRetryAfter), "too many requests are in flight at this instance")
	}
	tbl := lft.table(cl, now)
	tbl.countRequest(now)
	perSecond, burst := cl.wsp.Rate()
	tbl.wsp.Set(lft.ctl.RateShare(cl.Workspace, perSecond, tbl.rate), burst, cl.wsp.InFlight(), now)
	switch ver, wait := tbl.wsp.Enter(now); ver {
	case limit.TooFast:
		return nil, outcm.Refuse(outcm.WorkspaceRate, max(wait, retry.Jittered(busyRetryAfter)), "the workspace has reached its requests_per_second")
	case limit.TooMany:
		return nil, outcm.Refuse(outcm.WorkspaceBusy, retry.Jittered(busyRetryAfter), "the workspace has reached its in_flight at this instance")
	}
	lft.inFlight++
	lft.ctl.SetLoad(int64(lft.inFlight))
	return tbl, outcm.Result{}
}

// maxInFlightFor returns the number of requests in flight below which one more of a priority is
// admitted. The last part is reserved by priority: otherwise an instance fully occupied by
// drafts would refuse bookings.
func (lft *limitFilter) maxInFlightFor(priority int) int {
	reserved := lft.maxInFlight * reservedPercent / 100
	return lft.maxInFlight - reserved + reserved*priority/svcdoc.MaxPriority
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
		tbl = &table{workspace: cl.Workspace, wsp: limit.NewWorkspace(perSecond, burst, cl.wsp.InFlight()), windowStart: now}
		lft.tables[key] = tbl
	}
	return tbl
}

// countRequest counts the demand, which includes refused requests.
func (tbl *table) countRequest(now clock.Milli) {
	tbl.rollWindow(now)
	tbl.count++
}

func (tbl *table) rollWindow(now clock.Milli) {
	span := now - tbl.windowStart
	if span < rateWindow {
		return
	}
	tbl.rate = tbl.count / span.Seconds()
	tbl.windowStart, tbl.count = now, 0
}

// rates returns the demand by workspace, for the other instances.
func (lft *limitFilter) rates() map[string]float64 {
	lft.mtx.Lock()
	defer lft.mtx.Unlock()
	now := lft.clk.Now()
	sums := map[string]float64{}
	for _, tbl := range lft.tables {
		tbl.rollWindow(now)
		if tbl.rate > 0 {
			sums[tbl.workspace] += tbl.rate
		}
	}
	return sums
}
