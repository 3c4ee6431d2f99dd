package limit

import "amaranthvalve/pkg/clock"

const (
	// OneSlot is a share of any endpoint's slots that is less than one.
	OneSlot = 0.001
	// slotsHandover is how long a new coordinator grants one slot of each endpoint: the requests for
	// which the previous one granted slots are still running.
	slotsHandover = clock.Second
)

// SlotShare returns the share of the endpoints' slots that their coordinator may grant; the arguments
// are as for [CoordinatorShare]. An instance that is isolated from the others begins a new term: they
// have another coordinator by then.
func SlotShare(unresponsive int, term clock.Milli) float64 {
	share := CoordinatorShare(unresponsive, term)
	if share > 0 && (unresponsive > 0 || term < slotsHandover) {
		return OneSlot
	}
	return share
}

// Slots counts the requests of all instances at endpoints that must not be sent more than they run at
// a time. It is kept by one instance, which grants slots to the others. The zero value has no
// endpoints. It is not safe for concurrent use.
type Slots struct {
	byID     map[string]*slotted
	byTicket map[string]grant
}

// slotted is the state of one endpoint.
type slotted struct {
	// size is the number of requests that it runs at a time.
	size        int
	used        int
	pausedUntil clock.Milli
}

// grant is a granted slot.
type grant struct {
	endpoint *slotted
	// expires is when the request has ended at the latest: the instance that holds the slot may have
	// crashed.
	expires clock.Milli
}

// Sync replaces the endpoints, by ID, with their sizes. Endpoints that remain keep their grants.
func (sls *Slots) Sync(sizes map[string]int) {
	byID := make(map[string]*slotted, len(sizes))
	for id, size := range sizes {
		slt, ok := sls.byID[id]
		if !ok {
			slt = &slotted{}
		}
		slt.size = max(size, 1)
		byID[id] = slt
	}
	sls.byID = byID
}

// Usage returns the used fraction of an endpoint's slots; false if it has none to grant. share is the
// fraction of the slots that this instance may grant, of which one is always granted.
func (sls *Slots) Usage(id string, share float64, now clock.Milli) (float64, bool) {
	slt, ok := sls.byID[id]
	if !ok || share == 0 || now < slt.pausedUntil {
		return 0, false
	}
	size := max(1, int(share*float64(slt.size)))
	return float64(slt.used) / float64(size), slt.used < size
}

// Take grants a slot of an endpoint until the ticket is released, or expires.
func (sls *Slots) Take(id, ticket string, expires clock.Milli) {
	slt, ok := sls.byID[id]
	if !ok {
		return
	}
	if sls.byTicket == nil {
		sls.byTicket = map[string]grant{}
	}
	sls.Release(ticket)
	slt.used++
	sls.byTicket[ticket] = grant{endpoint: slt, expires: expires}
}

// Release ends a grant.
func (sls *Slots) Release(ticket string) {
	if grn, ok := sls.byTicket[ticket]; ok {
		grn.endpoint.used--
		delete(sls.byTicket, ticket)
	}
}

// Expire ends the grants that have expired.
func (sls *Slots) Expire(now clock.Milli) {
	for ticket, grn := range sls.byTicket {
		if now >= grn.expires {
			sls.Release(ticket)
		}
	}
}

// Opens returns the time at which a pause of an endpoint ends; false if there is none.
func (sls *Slots) Opens(id string, now clock.Milli) (at clock.Milli, ok bool) {
	slt, ok := sls.byID[id]
	if !ok || now >= slt.pausedUntil {
		return 0, false
	}
	return slt.pausedUntil, true
}

// Pause grants no slots of an endpoint for a while: it has rejected a request.
func (sls *Slots) Pause(id string, until clock.Milli) {
	if slt, ok := sls.byID[id]; ok {
		slt.pausedUntil = max(slt.pausedUntil, until)
	}
}
