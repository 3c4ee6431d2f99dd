package state

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ident"
)

// maxPastLists is how many earlier lists of endpoints a reader keeps to compute changes for
// followers: they ask twice a second, and in a busy second some dozen endpoints come and go. At
// 3,000 endpoints a full list is 240 KB for each follower, a change 100 B.
const maxPastLists = 16

// endpointList is a list of endpoints with the digest that identifies it.
type endpointList struct {
	Digest uint64
	// Builds identifies the builds of the endpoints. Instances of earlier versions know no builds, and
	// compute the same Digest.
	Builds uint64
	List   []proto.Endpoint
}

// listID identifies a list of endpoints and their builds.
type listID struct{ digest, builds uint64 }

func (lst endpointList) id() listID { return listID{lst.Digest, lst.Builds} }

// digest identifies a list of endpoints.
func digest(list []proto.Endpoint) uint64 {
	sum := xxhash.New()
	for _, ep := range list {
		for _, text := range []string{string(ep.ID), ep.Addr, ep.Pool, strconv.FormatBool(ep.Leaving)} {
			_, _ = sum.WriteString(text)
			_, _ = sum.WriteString("\x00")
		}
	}
	return sum.Sum64()
}

// digestBuilds identifies the builds of a list of endpoints.
func digestBuilds(list []proto.Endpoint) uint64 {
	sum := xxhash.New()
	for _, ep := range list {
		for _, text := range []string{string(ep.ID), ep.Build} {
			_, _ = sum.WriteString(text)
			_, _ = sum.WriteString("\x00")
		}
	}
	return sum.Sum64()
}

// appendPast adds the list of a replaced view to the earlier lists.
func appendPast(past []endpointList, last endpointList) []endpointList {
	past = append(slices.Clone(past), last)
	return past[max(0, len(past)-maxPastLists):]
}

// fillEndpoints sets an update's endpoints for a follower.
func (upd *update) fillEndpoints(vw *View, req updateRequest) {
	upd.Listed, upd.Digest, upd.Endpoints = true, vw.digest, vw.endpoints
	at := slices.IndexFunc(vw.pastLists, func(lst endpointList) bool {
		return lst.Digest == req.Digest && (req.Builds == 0 || lst.Builds == req.Builds)
	})
	if at < 0 {
		return
	}
	upd.Changed, upd.Endpoints = true, nil
	before := map[ident.Process]proto.Endpoint{}
	for _, ep := range vw.pastLists[at].List {
		before[ep.ID] = ep
	}
	for _, ep := range vw.endpoints {
		if old, ok := before[ep.ID]; !ok || old != ep {
			upd.Endpoints = append(upd.Endpoints, ep)
		}
		delete(before, ep.ID)
	}
	for id := range before {
		upd.Gone = append(upd.Gone, string(id))
	}
	slices.Sort(upd.Gone)
}

// apply replaces the list by the one that an update leads to. It reports false if the digests
// differ; the list is then empty, and the next update is a full one.
//
// The changes may be relative to another list than ours: while a request is held at a reader, this
// instance may read the store itself and start over. Applied without checking the digest, such
// changes left only the one changed endpoint, and nearly every request was refused for seconds.
func (lst *endpointList) apply(upd update) bool {
	list := upd.Endpoints
	if upd.Changed {
		list = lst.patched(upd)
	}
	if digest(list) != upd.Digest {
		*lst = endpointList{}
		return false
	}
	lst.Digest, lst.Builds, lst.List = upd.Digest, digestBuilds(list), list
	return true
}

// patched returns the list with the changes of an update.
func (lst *endpointList) patched(upd update) []proto.Endpoint {
	differs := map[ident.Process]bool{}
	for _, id := range upd.Gone {
		differs[ident.Process(id)] = true
	}
	for _, ep := range upd.Endpoints {
		differs[ep.ID] = true
	}
	list := slices.DeleteFunc(slices.Clone(lst.List), func(ep proto.Endpoint) bool { return differs[ep.ID] })
	list = append(list, upd.Endpoints...)
	slices.SortFunc(list, func(x, y proto.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
