package state

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/talk"
)

// pastMost is how many lists of endpoints a reader remembers, to tell followers what has
// changed since: they ask twice a second, and in a busy second some dozen endpoints come
// and go. At 3,000 endpoints a whole list is 240 KB for each follower, a change 100 B.
const pastMost = 16

// listed is a list of endpoints with the digest that names it.
type listed struct {
	Digest uint64
	List   []talk.Endpoint
}

// digest names a list of endpoints.
func digest(list []talk.Endpoint) uint64 {
	sum := xxhash.New()
	for _, ep := range list {
		for _, text := range []string{ep.ID, ep.Addr, ep.Pool, strconv.FormatBool(ep.Leaving)} {
			_, _ = sum.WriteString(text)
			_, _ = sum.WriteString("\x00")
		}
	}
	return sum.Sum64()
}

// remember adds the list of a view that is replaced to those of the past.
func remember(past []listed, last listed) []listed {
	past = append(slices.Clone(past), last)
	return past[max(0, len(past)-pastMost):]
}

// list fills in a view's endpoints for somebody who has the list that a digest names.
func (nws *news) list(vw *View, has uint64) {
	nws.Listed, nws.Digest, nws.Endpoints = true, vw.digest, vw.endpoints
	at := slices.IndexFunc(vw.past, func(lst listed) bool { return lst.Digest == has })
	if at < 0 {
		return
	}
	nws.Changed, nws.Endpoints = true, nil
	before := map[string]talk.Endpoint{}
	for _, ep := range vw.past[at].List {
		before[ep.ID] = ep
	}
	for _, ep := range vw.endpoints {
		if old, ok := before[ep.ID]; !ok || old != ep {
			nws.Endpoints = append(nws.Endpoints, ep)
		}
		delete(before, ep.ID)
	}
	for id := range before {
		nws.Gone = append(nws.Gone, id)
	}
	slices.Sort(nws.Gone)
}

// take makes the list the one that news tell of.
func (lst *listed) take(nws news) {
	lst.Digest = nws.Digest
	if !nws.Changed {
		lst.List = nws.Endpoints
		return
	}
	changed := map[string]bool{}
	for _, id := range nws.Gone {
		changed[id] = true
	}
	for _, ep := range nws.Endpoints {
		changed[ep.ID] = true
	}
	list := slices.DeleteFunc(slices.Clone(lst.List), func(ep talk.Endpoint) bool { return changed[ep.ID] })
	lst.List = append(list, nws.Endpoints...)
	slices.SortFunc(lst.List, func(x, y talk.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}
