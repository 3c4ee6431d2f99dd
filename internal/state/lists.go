package state

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/ident"
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
		for _, text := range []string{string(ep.ID), ep.Addr, ep.Pool, strconv.FormatBool(ep.Leaving)} {
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
	before := map[ident.Process]talk.Endpoint{}
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
		nws.Gone = append(nws.Gone, string(id))
	}
	slices.Sort(nws.Gone)
}

// take makes the list the one that news tell of; false if they don't lead to it, and then
// nothing is known and the whole list is asked for next.
//
// News may tell changes of another list than ours: while a question is held at a reader,
// this instance may read the store itself and begin anew. Changes of a list that it has
// no more, taken for the list, left it with the one endpoint that had changed: all others
// were gone for seconds, and nearly every request was refused. The digest tells.
func (lst *listed) take(nws news) bool {
	list := nws.Endpoints
	if nws.Changed {
		list = lst.changed(nws)
	}
	if digest(list) != nws.Digest {
		*lst = listed{}
		return false
	}
	lst.Digest, lst.List = nws.Digest, list
	return true
}

// changed gives the list with the changes that news tell.
func (lst *listed) changed(nws news) []talk.Endpoint {
	differs := map[ident.Process]bool{}
	for _, id := range nws.Gone {
		differs[ident.Process(id)] = true
	}
	for _, ep := range nws.Endpoints {
		differs[ep.ID] = true
	}
	list := slices.DeleteFunc(slices.Clone(lst.List), func(ep talk.Endpoint) bool { return differs[ep.ID] })
	list = append(list, nws.Endpoints...)
	slices.SortFunc(list, func(x, y talk.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
