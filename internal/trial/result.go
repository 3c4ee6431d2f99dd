package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
)

// Result holds the measurements of one run.
type Result struct {
	Deployment string
	Scenario   string
	Policy     string

	smallestWorkspace string
	topService        string
	offeredCount      int
	inTimeCount       int
	// smallestCounts and urgentCounts count the requests answered in time (index 0) and offered
	// (index 1) of the smallest workspace and of the service of the highest priority.
	smallestCounts [2]int
	urgentCounts   [2]int
	attemptCount   int
	retryCount     int
	usefulTime     clock.Milli
	wastedTime     clock.Milli
	// partial has the endpoint time of the finished stages of requests in flight.
	partial    map[*request]clock.Milli
	refusals   map[string]int
	costByPool map[string]clock.Milli
}

func newResult(dpl Deployment, scn Scenario, pol Policy) *Result {
	return &Result{
		Deployment: dpl.Name, Scenario: scn.Name, Policy: pol.Name,
		smallestWorkspace: dpl.workspaces[len(dpl.workspaces)-1].name, topService: dpl.services[len(dpl.services)-1].name,
		partial: map[*request]clock.Milli{}, refusals: map[string]int{}, costByPool: map[string]clock.Milli{},
	}
}

func (res *Result) recordOffered(req *request) {
	res.offeredCount++
	if req.wsp.name == res.smallestWorkspace {
		res.smallestCounts[1]++
	}
	if req.svc.name == res.topService {
		res.urgentCounts[1]++
	}
}

// addCost adds endpoint time to that of its pool, whether or not its result is used.
func (res *Result) addCost(pool string, engine clock.Milli) { res.costByPool[pool] += engine }

// addWaste adds endpoint time whose result was not used.
func (res *Result) addWaste(engine clock.Milli) { res.wastedTime += engine }

// addPartial adds endpoint time of a finished stage. It is useful if the request succeeds, and
// wasted if it fails later.
func (res *Result) addPartial(req *request, engine clock.Milli) { res.partial[req] += engine }

func (res *Result) recordEnd(req *request, reason string) {
	if reason == "" {
		res.inTimeCount++
		res.usefulTime += res.partial[req]
		if req.wsp.name == res.smallestWorkspace {
			res.smallestCounts[0]++
		}
		if req.svc.name == res.topService {
			res.urgentCounts[0]++
		}
	} else {
		res.refusals[reason]++
		res.wastedTime += res.partial[req]
	}
	delete(res.partial, req)
}

// Attainment returns the share of requests answered within their deadline.
func (res *Result) Attainment() float64 { return ratio(res.inTimeCount, res.offeredCount) }

// SmallestAttainment returns the attainment of the smallest workspace.
func (res *Result) SmallestAttainment() float64 {
	return ratio(res.smallestCounts[0], res.smallestCounts[1])
}

// UrgentAttainment returns the attainment of the service of the highest priority.
func (res *Result) UrgentAttainment() float64 { return ratio(res.urgentCounts[0], res.urgentCounts[1]) }

// WastedShare returns the share of endpoint time whose result was not used.
func (res *Result) WastedShare() float64 {
	all := res.usefulTime + res.wastedTime
	if all == 0 {
		return 0
	}
	return float64(res.wastedTime) / float64(all)
}

// RetriesPerRequest returns the number of retries per request offered.
func (res *Result) RetriesPerRequest() float64 { return ratio(res.retryCount, res.offeredCount) }

// CostPerAnswer returns the endpoint time in milliseconds per request answered in time.
func (res *Result) CostPerAnswer() float64 {
	sum := clock.Milli(0)
	for _, ms := range res.costByPool {
		sum += ms
	}
	return float64(sum) / float64(max(res.inTimeCount, 1))
}

// ratio returns n/all, or 1 if all is 0.
func ratio(n, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(n) / float64(all)
}

// Header is the header of the Markdown table whose rows [Result.Row] returns.
const Header = "| policy | attained | smallest workspace | highest priority | ms an answer | by pool | wasted | retries | refusals |\n|---|---|---|---|---|---|---|---|---|"

// Row returns the result as a row of a Markdown table.
func (res *Result) Row() string {
	var cost, refused []string
	for _, pool := range slices.Sorted(maps.Keys(res.costByPool)) {
		cost = append(cost, fmt.Sprintf("%s %.0f", pool, float64(res.costByPool[pool])/float64(max(res.inTimeCount, 1))))
	}
	for _, reason := range slices.Sorted(maps.Keys(res.refusals)) {
		refused = append(refused, fmt.Sprintf("%s %d", reason, res.refusals[reason]))
	}
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.0f | %s | %.3f | %.3f | %s |", res.Policy, res.Attainment(), res.SmallestAttainment(),
		res.UrgentAttainment(), res.CostPerAnswer(), strings.Join(cost, ", "), res.WastedShare(), res.RetriesPerRequest(), strings.Join(refused, ", "))
}

// Table runs every scenario of every deployment under every policy and returns the results as
// Markdown tables.
func Table(seed uint64) string {
	var out strings.Builder
	for _, dpl := range Deployments() {
		for _, scn := range Scenarios() {
			fmt.Fprintf(&out, "\n### %s: %s\n\n%s\n", dpl.Name, scn.Name, Header)
			for _, pol := range Policies() {
				res := Measure(dpl, scn, pol, seed)
				fmt.Fprintln(&out, res.Row())
			}
		}
	}
	return out.String()
}
