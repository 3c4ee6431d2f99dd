package coord

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/grant"
	"amaranthvalve/pkg/ident"
)

// holding is a grant that another instance holds.
type holding struct {
	pool    string
	holder  ident.Incarnation
	expires clock.Milli
	// listed is set if the holder was a live member at some time.
	listed bool
}

// queues has the queues of the pools, and the grants from them by ticket. The zero value is empty.
type queues struct {
	mtx    sync.Mutex
	byPool map[string]*poolQueue
	held   map[string]holding
	// lostAt is when the grants were last examined for lost ones without an event.
	lostAt clock.Milli
	// refused has the requests that were refused, by their keys, and withdrawn the attempts whose instances withdrew
	// them, by withdrawnKey.
	refused, withdrawn arrivals
}

// get returns the queue of a pool; nil if there is none and none is to be made.
func (qus *queues) get(pool string, create bool) *poolQueue {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	pqu := qus.byPool[pool]
	if pqu == nil && create {
		if qus.byPool == nil {
			qus.byPool = map[string]*poolQueue{}
		}
		pqu = &poolQueue{waiters: map[*grant.Entry]*waiter{}}
		qus.byPool[pool] = pqu
	}
	return pqu
}

// all returns the queues by pool.
func (qus *queues) all() map[string]*poolQueue {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	list := make(map[string]*poolQueue, len(qus.byPool))
	for pool, pqu := range qus.byPool {
		list[pool] = pqu
	}
	return list
}

func (qus *queues) hold(ticket string, hld holding) {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	if qus.held == nil {
		qus.held = map[string]holding{}
	}
	qus.held[ticket] = hld
}

// drop forgets a grant, and returns its pool.
func (qus *queues) drop(ticket string) (pool string) {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	pool = qus.held[ticket].pool
	delete(qus.held, ticket)
	return pool
}

// lostDue reports whether the grants are to be examined for lost ones, at most once in a sweepInterval. A queue
// at many endpoints with rates is examined each millisecond, while other instances hold thousands of grants.
func (qus *queues) lostDue(now clock.Milli) bool {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	if now < qus.lostAt+sweepInterval {
		return false
	}
	qus.lostAt = now
	return true
}

// takeLost removes and returns the grants that have expired, and those whose holders have died, by ticket. Dead
// members are not listed; one that was never listed may be about to be.
func (qus *queues) takeLost(vw *state.View, now clock.Milli) map[string]holding {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	if len(qus.held) == 0 {
		return nil
	}
	live := map[ident.Incarnation]bool{}
	for _, mbr := range vw.Members() {
		live[mbr.ID()] = true
	}
	lost := map[string]holding{}
	for ticket, hld := range qus.held {
		switch {
		case now >= hld.expires || hld.listed && !live[hld.holder]:
			lost[ticket] = hld
			delete(qus.held, ticket)
		case !hld.listed && live[hld.holder]:
			hld.listed = true
			qus.held[ticket] = hld
		}
	}
	return lost
}

// returned reports whether a request with this key was refused before.
func (qus *queues) returned(key uint64, now clock.Milli) bool {
	qus.mtx.Lock()
	defer qus.mtx.Unlock()
	return key != 0 && qus.refused.has(key, now)
}

// refuse records that a request was refused.
func (qus *queues) refuse(key uint64, now clock.Milli) {
	if key != 0 {
		qus.refused.elapsed(key, now)
	}
}

// withdraw records that an instance has withdrawn an attempt, and isWithdrawn reports it: on a busy machine the report
// may overtake the request, which gets nothing then.
func (qus *queues) withdraw(holder ident.Incarnation, ticket string, now clock.Milli) {
	qus.withdrawn.elapsed(withdrawnKey(holder, ticket), now)
}

func (qus *queues) isWithdrawn(holder ident.Incarnation, ticket string, now clock.Milli) bool {
	return qus.withdrawn.has(withdrawnKey(holder, ticket), now)
}

// withdrawnKey identifies an attempt of an instance. Two attempts of one key, of 2^64, cost a further try.
func withdrawnKey(holder ident.Incarnation, ticket string) uint64 {
	return xxhash.Sum64String(string(holder) + "\x00" + ticket)
}
