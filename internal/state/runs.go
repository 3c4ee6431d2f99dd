package state

import (
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// runRetention is how long the latest run of an endpoint that is no longer listed is remembered. A
// list that another instance read before may arrive late, since a reader holds requests for
// updates.
const runRetention = 30 * clock.Second

// run is the latest run of an endpoint, and when it was last listed.
type run struct {
	proc     ident.Process
	listedAt clock.Milli
}

// runs has the latest run of each endpoint by its name. The zero value is empty.
//
// A list may be older than what is known already: a reader's list in transit, or one from before
// the store was read. It may name a run of an endpoint that has ended since. Taken as it is, the
// list would bring back that run with all that was recorded of it, and requests would be sent to a
// process that is gone, and be refused.
type runs struct {
	byName map[string]run
}

// latest returns a list without runs that have ended; each is replaced by the later run as found in
// the list before, if it is there.
func (rns *runs) latest(list, before []proto.Endpoint, now clock.Milli) []proto.Endpoint {
	if rns.byName == nil {
		rns.byName = map[string]run{}
	}
	at := map[string]int{}
	var out []proto.Endpoint
	for _, ep := range list {
		name := ep.ID.Name()
		if known, ok := rns.byName[name]; ok && known.proc.Replaces(ep.ID) {
			if ep, ok = find(before, known.proc); !ok {
				continue
			}
		}
		if i, ok := at[name]; ok {
			if ep.ID.Replaces(out[i].ID) {
				out[i] = ep
			}
			continue
		}
		at[name] = len(out)
		out = append(out, ep)
	}
	rns.note(out, now)
	return out
}

func (rns *runs) note(list []proto.Endpoint, now clock.Milli) {
	for _, ep := range list {
		rns.byName[ep.ID.Name()] = run{proc: ep.ID, listedAt: now}
	}
	for name, rn := range rns.byName {
		if now-rn.listedAt > runRetention {
			delete(rns.byName, name)
		}
	}
}

// has reports whether a process is the latest run of its endpoint, listed lately.
func (rns *runs) has(proc ident.Process) bool { return rns.byName[proc.Name()].proc == proc }

func find(list []proto.Endpoint, proc ident.Process) (proto.Endpoint, bool) {
	for _, ep := range list {
		if ep.ID == proc {
			return ep, true
		}
	}
	return proto.Endpoint{}, false
}
