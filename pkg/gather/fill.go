package gather

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// fill composes a batch: the most urgent job first, then jobs that prefer the endpoint's data
// centre or none, then the others. Jobs are kept whole where possible. A split job completes only
// with the later of its batches; until then the results of the earlier one occupy storage to no
// use, and the consumer has to fetch results from two endpoints.
func (sch *Scheduler) fill(ep *endpoint, now clock.Milli) (Batch, bool) {
	look := slices.Clone(sch.mostUrgent())
	look = slices.DeleteFunc(look, func(itm Item) bool { return sch.reservedElsewhere(itm, ep, now) })
	bld := builder{sch: sch, ep: ep, taken: map[int64]bool{}}
	jobs := groupByJob(look)
	first := slices.IndexFunc(jobs, bld.fits)
	if first < 0 {
		return Batch{}, false
	}
	bld.add(jobs[first])
	if jobs[first][0].Exclusive {
		return sch.startBatch(ep, bld, now)
	}
	jobs = slices.DeleteFunc(jobs, func(job []Item) bool { return job[0].Exclusive })
	for _, local := range []bool{true, false} {
		for _, job := range jobs {
			if (job[0].Zone == "" || job[0].Zone == ep.Zone) == local && !bld.taken[job[0].ID] && bld.fits(job) {
				bld.add(job)
			}
		}
	}
	if sch.mayTopUp(bld, now) {
		bld.topUp(jobs)
	}
	return sch.startBatch(ep, bld, now)
}

// mayTopUp reports whether a batch may be filled up with part of a job. That requires more waiting
// items than a batch holds, and batches that start so soon after each other that the remaining
// items are hardly delayed. In a pool of many endpoints, whose batches start some milliseconds
// apart, batches of whole jobs only would leave part of each endpoint's capacity unused while
// requests are refused.
func (sch *Scheduler) mayTopUp(bld builder, now clock.Milli) bool {
	if len(sch.waiting)-len(bld.items) < sch.spec.MaxItems || sch.spec.Capacity > 0 && float64(bld.bytes) > topUpStorageShare*float64(sch.spec.Capacity) {
		return false
	}
	rate, _ := sch.effectiveSlots(now)
	return rate > 0 && float64(sch.spec.Time(sch.spec.MaxItems)) <= topUpIntervalMs*rate
}

// groupByJob groups items by job, in the order of the first item of each.
func groupByJob(list []Item) [][]Item {
	at := map[int64]int{}
	var jobs [][]Item
	for _, itm := range list {
		i, ok := at[itm.Job]
		if !ok {
			i = len(jobs)
			at[itm.Job] = i
			jobs = append(jobs, nil)
		}
		jobs[i] = append(jobs[i], itm)
	}
	return jobs
}

// builder composes a batch.
type builder struct {
	sch   *Scheduler
	ep    *endpoint
	items []Item
	taken map[int64]bool
	bytes int64
}

// fits reports whether a job fits into the batch: all of it or, if the job may be split, its first
// item.
func (bld *builder) fits(job []Item) bool {
	var bytes int64
	for _, itm := range job {
		bytes += itm.Bytes
	}
	if bld.sch.maySplit(job, bytes) {
		return len(bld.items) < bld.sch.spec.MaxItems && bld.sch.fits(bld.ep, bld.bytes, job[0])
	}
	return len(bld.items)+len(job) <= bld.sch.spec.MaxItems && bld.sch.fits(bld.ep, bld.bytes+bytes, Item{})
}

// maySplit reports whether a job may be split over batches: one that has begun already, or one too
// large for a batch.
func (sch *Scheduler) maySplit(job []Item, bytes int64) bool {
	return job[0].Begun || len(job) > sch.spec.MaxItems || sch.spec.Capacity > 0 && float64(bytes) > wholeJobStorageShare*float64(sch.spec.Capacity)
}

// add adds the items of a job that fit.
func (bld *builder) add(job []Item) {
	for _, itm := range job {
		if len(bld.items) >= bld.sch.spec.MaxItems || bld.taken[itm.ID] || !bld.sch.fits(bld.ep, bld.bytes, itm) {
			continue
		}
		bld.taken[itm.ID] = true
		bld.bytes += itm.Bytes
		bld.items = append(bld.items, itm)
	}
}

// topUp adds the items that fit of the most urgent job not in the batch yet.
func (bld *builder) topUp(jobs [][]Item) {
	for _, job := range jobs {
		if before := len(bld.items); !bld.taken[job[0].ID] {
			bld.add(job)
			if len(bld.items) > before {
				return
			}
		}
	}
}
