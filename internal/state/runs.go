package state

import (
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// runFor is how long the latest run of an endpoint is remembered that is listed no more:
// a list that another instance read before may arrive as late as a question is held there.
const runFor = 30 * clock.Second

// run is the latest run of an endpoint, and when it was listed last.
type run struct {
	proc ident.Process
	seen clock.Milli
}

// runs has the latest run of each endpoint by its name. The zero value knows none.
//
// A list may be older than what is known already: a reader's list that was on its way, or
// one from before the store was asked. It may name a run of an endpoint that has ended
// since. Taken, that would bring back all that was believed of it, and requests would be sent
// to a process that isn't there and be refused.
type runs struct {
	byName map[string]run
}

// latest gives a list without runs that have ended; in their place it has the later run as
// the list before has it, if it does.
func (rns *runs) latest(list, before []talk.Endpoint, now clock.Milli) []talk.Endpoint {
	if rns.byName == nil {
		rns.byName = map[string]run{}
	}
	at := map[string]int{}
	var out []talk.Endpoint
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

func (rns *runs) note(list []talk.Endpoint, now clock.Milli) {
	for _, ep := range list {
		rns.byName[ep.ID.Name()] = run{proc: ep.ID, seen: now}
	}
	for name, rn := range rns.byName {
		if now-rn.seen > runFor {
			delete(rns.byName, name)
		}
	}
}

func find(list []talk.Endpoint, proc ident.Process) (talk.Endpoint, bool) {
	for _, ep := range list {
		if ep.ID == proc {
			return ep, true
		}
	}
	return talk.Endpoint{}, false
}
