package front

import (
	"fmt"
	"strings"
	"sync"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
)

// service counts the recent admissions of the ranked routes at this instance, by route, workspace and
// size. It is safe for concurrent use.
type service struct {
	mtx sync.Mutex
	rct admit.Recent
}

func (svc *service) starved(groups []admit.Group, now clock.Milli) admit.Class {
	svc.mtx.Lock()
	defer svc.mtx.Unlock()
	return svc.rct.Starved(groups, now)
}

func (svc *service) record(groups []admit.Group, returned, admitted bool, now clock.Milli) {
	svc.mtx.Lock()
	defer svc.mtx.Unlock()
	svc.rct.Record(groups, returned, admitted, now)
}

func (svc *service) revoke(groups []admit.Group, now clock.Milli) {
	svc.mtx.Lock()
	defer svc.mtx.Unlock()
	svc.rct.Revoke(groups, now)
}

// groups returns the groups by which the service of a request is compared with that of all.
func (cl *call) groups() []admit.Group {
	items := 0
	for _, n := range cl.ask.Items {
		items += n
	}
	return admit.Groups(cl.route.Name(), cl.wsp, items)
}

// waitRank returns the rank by which the waits of the request's items are estimated.
func (cl *call) waitRank() int {
	if !cl.ranked {
		return admit.Unranked
	}
	return cl.stageRank
}

// longestRank returns the rank whose waits are the longest ones known.
func (cl *call) longestRank() int {
	if !cl.ranked {
		return admit.Unranked
	}
	return admit.LeastUrgent
}

// rankForStages sets the rank at which the request's stages are admitted and queued.
func (fr *Front) rankForStages(cl *call) {
	cl.stageRank = cl.rank
	if cl.ranked = fr.set.RankAdmission && cl.view.Plan().Ranked(cl.route); !cl.ranked {
		return
	}
	if cl.starved = fr.service.starved(cl.groups(), fr.set.Clock.Now()); cl.starved != admit.NoClass {
		cl.stageRank = 0
	}
}

// rankWait returns the longest wait of the request's stages at its rank; zero where ranks don't count.
func (fr *Front) rankWait(cl *call) clock.Milli {
	longest := clock.Milli(0)
	if cl.ranked {
		for _, pool := range cl.pools() {
			longest = max(longest, fr.coord.EstimateWait(pool, cl.stageRank))
		}
	}
	return longest
}

// dueIn returns the time until the items of each pool are due: the latest where several stages use
// the pool.
func (fr *Front) dueIn(cl *call, pools []string) []clock.Milli {
	if !cl.ranked {
		return nil
	}
	now := fr.set.Clock.Now()
	due := make([]clock.Milli, len(pools))
	for i, pool := range pools {
		first := true
		for stg, raw := range cl.route.Stages() {
			if raw.Pool != pool || cl.itemCount(stg) == 0 {
				continue
			}
			if left := cl.due - fr.timeAfter(cl, stg) - now; first || left > due[i] {
				due[i], first = left, false
			}
		}
	}
	return due
}

// recordAdmission counts the decision on a request of a ranked route, and logs a refusal, and
// an admission that the guard against starvation has changed, with the estimates that led to it.
func (fr *Front) recordAdmission(cl *call, bdg admit.Budget, verdict admit.Admission) {
	if !cl.ranked {
		return
	}
	fr.service.record(cl.groups(), cl.sinceFirst > 0, verdict == admit.Admit, fr.set.Clock.Now())
	if verdict == admit.Admit && cl.starved == admit.NoClass {
		return
	}
	text := "starved request admitted at the most urgent rank"
	if verdict != admit.Admit {
		text = "request shed"
		fr.set.Meter.CountShed(cl.rank)
	}
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("route", cl.route.Name()).Str("workspace", cl.wsp).Int("rank", cl.rank).Int("stage_rank", cl.stageRank).
		Str("starved_by", cl.starved.String()).Bool("contended", bdg.Contended).Int64("need_ms", int64(bdg.Estimate)).
		Int64("deadline_left_ms", int64(bdg.ToDeadline)).Int64("target_left_ms", int64(bdg.ToTarget)).
		Int64("spent_ms", int64(cl.sinceFirst)).Str("stages", fr.describeStages(cl)).Msg(text)
}

// revokeAdmission takes back the count of an admitted request that was refused by its stages. Refusals
// for want of a slot for the final call do not count: a more urgent rank of its stages would not help.
func (fr *Front) revokeAdmission(cl *call) {
	if cl.ranked {
		fr.service.revoke(cl.groups(), fr.set.Clock.Now())
	}
}

// describeStages describes the estimated wait and the planned time of each stage that has items.
func (fr *Front) describeStages(cl *call) string {
	var list []string
	for i, stg := range cl.route.Stages() {
		if cl.itemCount(i) > 0 {
			list = append(list, fmt.Sprintf("%s:%d+%d", stg.Pool, fr.coord.EstimateWait(stg.Pool, cl.waitRank()), cl.serviceTime(i)))
		}
	}
	return strings.Join(list, ",")
}
