package soak

import (
	"net/http"
	"slices"
	"time"

	"amaranthvalve/internal/sever"
)

const (
	minPartition = 4 * time.Second
	maxPartition = 8 * time.Second
	// From settleTime after the begin of a partition, the partitioned instances serve at least
	// servedRatio times as large a share of their requests as the others, unless at most failedSlack
	// and a failedShare of all requests fail there.
	servedRatio = 2.0 / 3
	failedSlack = 10
	failedShare = 1.0 / 50
)

// partitionPeriod is a period in which some instances were partitioned from all endpoints.
type partitionPeriod struct {
	insts []*instance
	from  time.Time
	until time.Time
}

// partition partitions one instance, some or all from all endpoints. The store, callers and the other
// instances reach them all the while, so that they count as steady.
func (sr *soakRun) partition() {
	most := len(sr.insts)
	count := []int{1, 1, most / 2, most / 2, most - 1, most - 1, most}[sr.drawInt(7)]
	first := sr.drawInt(len(sr.insts))
	shapes := []sever.Shape{sever.Open, sever.Refuses, sever.Drops}
	fresh, existing := shapes[1+sr.drawInt(2)], shapes[sr.drawInt(3)]
	prd := &partitionPeriod{from: time.Now()}
	span := sr.drawDuration(minPartition, maxPartition)
	for i := range max(count, 1) {
		ins := sr.insts[(first+i)%len(sr.insts)]
		ins.setPartition(fresh, existing)
		prd.insts = append(prd.insts, ins)
	}
	time.Sleep(span)
	prd.until = time.Now()
	for _, ins := range prd.insts {
		ins.endPartition()
	}
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	sr.partitions = append(sr.partitions, prd)
}

func (ins *instance) setPartition(fresh, existing sever.Shape) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.partitions++
	_ = sever.Write(ins.partitionPath, fresh, existing)
}

// endPartition ends a partition; the instance remains partitioned if there is another one.
func (ins *instance) endPartition() {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.partitionedUntil = time.Now()
	if ins.partitions--; ins.partitions == 0 {
		_ = sever.Write(ins.partitionPath, sever.Open, sever.Open)
	}
}

// healPartition ends all partitions.
func (ins *instance) healPartition() {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	_ = sever.Write(ins.partitionPath, sever.Open, sever.Open)
}

// partitionedSince reports whether the instance has been partitioned since settleTime before the given
// time.
func (ins *instance) partitionedSince(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.partitions > 0 || at.Sub(ins.partitionedUntil) < settleTime
}

// inTouch reports whether the instance was steady and not shutting down, in which it refuses requests.
func (att *attempt) inTouch() bool {
	shutdownAt := att.ins.shutdownTime(att.incarnation)
	return att.steady && (shutdownAt.IsZero() || shutdownAt.After(att.ended))
}

// noneRelays reports whether no instance could relay for another one at the given time: each was
// partitioned, or since settleTime before it, or in a planned shutdown.
func (sr *soakRun) noneRelays(at time.Time) bool {
	out := map[*instance]bool{}
	for _, prd := range sr.partitions {
		if !at.Before(prd.from) && at.Sub(prd.until) < settleTime {
			for _, ins := range prd.insts {
				out[ins] = true
			}
		}
	}
	for _, ins := range sr.insts {
		if ins.shuttingDown(at) {
			out[ins] = true
		}
	}
	return len(out) == len(sr.insts)
}

// shuttingDown reports whether the instance was in a planned shutdown at the given time, or started lately
// after one.
func (ins *instance) shuttingDown(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	for _, begin := range ins.shutdowns {
		if !at.Before(begin) && at.Sub(begin) < ins.shutdownTimeout+settleTime {
			return true
		}
	}
	return false
}

// checkPartitions checks that partitioned instances serve their callers nearly as often as the others.
func (sr *soakRun) checkPartitions() {
	for _, prd := range sr.partitions {
		var cut, cutServed, others, othersServed int
		for _, att := range sr.order {
			if !att.inTouch() || att.version > 0 || att.sent.Before(prd.from.Add(settleTime)) || att.ended.After(prd.until) || sr.noneRelays(att.sent) || sr.noneRelays(att.ended) {
				continue
			}
			all, done := &others, &othersServed
			if slices.Contains(prd.insts, att.ins) {
				all, done = &cut, &cutServed
			} else if att.partitioned {
				continue
			}
			*all++
			if att.err == nil && att.status == http.StatusOK {
				*done++
			}
		}
		failed := cut - cutServed
		sr.note("%d instances were partitioned from all endpoints for %v: served %d of %d, the others %d of %d", len(prd.insts), prd.until.Sub(prd.from).Round(time.Millisecond), cutServed, cut, othersServed, others)
		if cut == 0 || othersServed == 0 {
			continue
		}
		ratio := float64(cutServed) * float64(others) / (float64(cut) * float64(othersServed))
		if ratio < servedRatio && float64(failed) > failedSlack+failedShare*float64(cut+others) {
			sr.violation("partition: instances partitioned from all endpoints served %d of %d requests, the others %d of %d", cutServed, cut, othersServed, others)
		}
	}
}
