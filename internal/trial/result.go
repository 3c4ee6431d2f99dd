package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"amaranthvalve/pkg/clock"
)

// Result is what one run measured.
type Result struct {
	Deployment string
	Scenario   string
	Policy     string

	smallest string
	top      string
	count    int
	met      int
	small    [2]int
	urgent   [2]int
	attempts int
	retries  int
	useful   clock.Milli
	wasted   clock.Milli
	partial  map[*request]clock.Milli
	refusals map[string]int
	byStage  map[string]clock.Milli
}

func newResult(dpl Deployment, scn Scenario, pol Policy) *Result {
	return &Result{
		Deployment: dpl.Name, Scenario: scn.Name, Policy: pol.Name,
		smallest: dpl.workspaces[len(dpl.workspaces)-1].name, top: dpl.services[len(dpl.services)-1].name,
		partial: map[*request]clock.Milli{}, refusals: map[string]int{}, byStage: map[string]clock.Milli{},
	}
}

func (res *Result) offered(req *request) {
	res.count++
	if req.wsp.name == res.smallest {
		res.small[1]++
	}
	if req.svc.name == res.top {
		res.urgent[1]++
	}
}

// cost counts endpoint time by pool, whatever became of it.
func (res *Result) cost(pool string, engine clock.Milli) { res.byStage[pool] += engine }

// waste counts endpoint time whose result nobody used.
func (res *Result) waste(engine clock.Milli) { res.wasted += engine }

// spent notes useful time that turns to waste if the request fails later.
func (res *Result) spent(req *request, engine clock.Milli) { res.partial[req] += engine }

func (res *Result) ended(req *request, reason string) {
	if reason == "" {
		res.met++
		res.useful += res.partial[req]
		if req.wsp.name == res.smallest {
			res.small[0]++
		}
		if req.svc.name == res.top {
			res.urgent[0]++
		}
	} else {
		res.refusals[reason]++
		res.wasted += res.partial[req]
	}
	delete(res.partial, req)
}

// Attainment gives the share of requests answered within their deadline.
func (res *Result) Attainment() float64 { return part(res.met, res.count) }

// Smallest gives the attainment of the smallest workspace.
func (res *Result) Smallest() float64 { return part(res.small[0], res.small[1]) }

// Urgent gives the attainment of the service of the highest priority.
func (res *Result) Urgent() float64 { return part(res.urgent[0], res.urgent[1]) }

// Wasted gives the share of endpoint time whose result nobody used.
func (res *Result) Wasted() float64 {
	all := res.useful + res.wasted
	if all == 0 {
		return 0
	}
	return float64(res.wasted) / float64(all)
}

// Retries gives the attempts after the first, a request offered.
func (res *Result) Retries() float64 { return part(res.retries, res.count) }

// CostPerAnswer gives the endpoint milliseconds spent for each answer.
func (res *Result) CostPerAnswer() float64 {
	sum := clock.Milli(0)
	for _, ms := range res.byStage {
		sum += ms
	}
	return float64(sum) / float64(max(res.met, 1))
}

func part(n, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(n) / float64(all)
}

// Header is the head of the table that Row fills.
const Header = "| policy | attained | smallest workspace | highest priority | ms an answer | by pool | wasted | retries | refusals |\n|---|---|---|---|---|---|---|---|---|"

// Row gives the result as a row of a Markdown table.
func (res *Result) Row() string {
	var cost, refused []string
	for _, pool := range slices.Sorted(maps.Keys(res.byStage)) {
		cost = append(cost, fmt.Sprintf("%s %.0f", pool, float64(res.byStage[pool])/float64(max(res.met, 1))))
	}
	for _, reason := range slices.Sorted(maps.Keys(res.refusals)) {
		refused = append(refused, fmt.Sprintf("%s %d", reason, res.refusals[reason]))
	}
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.0f | %s | %.3f | %.3f | %s |", res.Policy, res.Attainment(), res.Smallest(),
		res.Urgent(), res.CostPerAnswer(), strings.Join(cost, ", "), res.Wasted(), res.Retries(), strings.Join(refused, ", "))
}

// Table runs every scenario of every deployment under every policy and gives
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
