package coord

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/sticky"
)

// findTimeout bounds the query for a binding, of the holders and again of others.
const findTimeout = 50 * time.Millisecond

// bindingQuery asks for the binding of a stream in one of several pools.
type bindingQuery struct {
	Pools []string   `cbor:"1,keyasint"`
	Key   sticky.Key `cbor:"2,keyasint"`
}

// bindingAnswer is what an instance knows of a stream, and of the builds of the pools in which it may have begun.
type bindingAnswer struct {
	Bound
	// Builds has the names of builds by pool; none from instances of earlier versions.
	Builds map[string][]string `cbor:"4,keyasint,omitempty"`
}

// Bound is where a stream began. The zero value is that of an unknown stream.
type Bound struct {
	Pool  string `cbor:"1,keyasint,omitempty"`
	Build string `cbor:"2,keyasint,omitempty"`
	// Known is set if there is a binding; without a build it is contradictory.
	Known bool `cbor:"3,keyasint,omitempty"`
}

// merge returns what two instances know of a stream together.
func (bnd Bound) merge(oth Bound) Bound {
	switch {
	case !bnd.Known:
		return oth
	case !oth.Known || oth == bnd:
		return bnd
	}
	return Bound{Known: true}
}

// findings are the merged answers of instances about a stream.
type findings struct {
	bound Bound
	// answered counts the instances that answered.
	answered int
	builds   map[string][]string
}

func (fnd *findings) add(ans bindingAnswer) {
	fnd.answered++
	fnd.bound = fnd.bound.merge(ans.Bound)
	for pool, names := range ans.Builds {
		if fnd.builds == nil {
			fnd.builds = map[string][]string{}
		}
		fnd.builds[pool] = append(fnd.builds[pool], names...)
	}
}

// isOnlyBuild reports whether nobody who answered knows of another build of the pool in which the stream began.
func (fnd *findings) isOnlyBuild() bool {
	return !slices.ContainsFunc(fnd.builds[fnd.bound.Pool], func(name string) bool { return name != state.BuildName(fnd.bound.Build) })
}

// FindStream returns where the stream began that an attempt began. It may have begun in one of several pools. An attempt
// begins one stream only, so that what this instance knows is certain; if it knows nothing, the holders are asked, and some
// other instances if no holder knows it.
func (crd *Coordinator) FindStream(ctx context.Context, pools []string, key sticky.Key) Bound {
	qry := bindingQuery{Pools: pools, Key: key}
	if bnd := crd.bindings.find(qry, crd.set.Clock.Now()); bnd.Known || crd.set.Link == nil || !crd.waitJoined(ctx) {
		return bnd
	}
	var fnd findings
	for _, list := range [][]ident.Incarnation{crd.ranked(sticky.Holders, pools), crd.ranked(sticky.Others, pools)} {
		if crd.askBindings(ctx, list, qry, &fnd); fnd.bound.Known {
			return fnd.bound
		}
	}
	return Bound{}
}

// FindUnnamed returns where a stream began that is known by its request alone, and whether there was no other build
// since. The same request may have begun again at another build while this instance was cut off or stood still, so that
// most of the holders must confirm what it knows, or most of those that can be asked. An instance without others goes by what it
// knows while its list of endpoints is recent.
func (crd *Coordinator) FindUnnamed(ctx context.Context, pools []string, key sticky.Key) (bnd Bound, onlyBuild bool) {
	qry := bindingQuery{Pools: pools, Key: key}
	fnd := findings{bound: crd.bindings.find(qry, crd.set.Clock.Now())}
	if crd.set.Link == nil {
		return fnd.bound, true
	}
	if !crd.waitJoined(ctx) {
		return Bound{}, false
	}
	var asked []ident.Incarnation
	for _, list := range [][]ident.Incarnation{crd.ranked(sticky.Holders, pools), crd.ranked(sticky.Others, pools)} {
		asked = append(asked, list...)
		crd.askBindings(ctx, list, qry, &fnd)
		if crd.isConfirmed(asked, fnd.answered) && fnd.bound.Known {
			return fnd.bound, fnd.isOnlyBuild()
		}
	}
	return Bound{}, false
}

// isConfirmed reports whether answers from others, of which some were asked, suffice to go by what all together know.
func (crd *Coordinator) isConfirmed(asked []ident.Incarnation, answered int) bool {
	if slices.Contains(asked, crd.set.Control.Self()) {
		if len(asked) == 1 {
			return crd.set.Control.View().HasRecentList(crd.set.Clock.Now())
		}
		answered++
	}
	return 2*answered > len(asked)
}

// waitJoined waits until the other instances are known; false if the context ends before.
func (crd *Coordinator) waitJoined(ctx context.Context) bool {
	select {
	case <-crd.joined:
	case <-crd.set.Control.MembersKnown():
	case <-ctx.Done():
		return false
	}
	return true
}

// ranked returns a part of the rankings of pools.
func (crd *Coordinator) ranked(part func([]ident.Incarnation) []ident.Incarnation, pools []string) []ident.Incarnation {
	var list []ident.Incarnation
	for _, pool := range pools {
		for _, inc := range part(crd.set.Ranking(pool)) {
			if !slices.Contains(list, inc) {
				list = append(list, inc)
			}
		}
	}
	return list
}

// askBindings asks the instances of a list, without this one, for a binding, and adds their answers.
func (crd *Coordinator) askBindings(ctx context.Context, list []ident.Incarnation, qry bindingQuery, fnd *findings) {
	body, err := cbor.Marshal(qry)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers, asked := make(chan *bindingAnswer, len(list)), 0
	for _, inc := range list {
		if inc == crd.set.Control.Self() {
			continue
		}
		asked++
		go func() { answers <- crd.askBinding(ctx, inc, body) }()
	}
	for range asked {
		if ans := <-answers; ans != nil {
			fnd.add(*ans)
		}
	}
}

// askBinding returns the answer of an instance, nil for none.
func (crd *Coordinator) askBinding(ctx context.Context, inc ident.Incarnation, query []byte) *bindingAnswer {
	rsp, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.FindBinding, From: crd.set.Control.Self(), To: inc, Body: query})
	var ans bindingAnswer
	if err != nil || rsp.Kind != peer.OK || cbor.Unmarshal(rsp.Body, &ans) != nil {
		return nil
	}
	return &ans
}

// HandleFind answers the query for a binding; it is registered with the link.
func (crd *Coordinator) HandleFind(msg peer.Message) peer.Message {
	rsp := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var qry bindingQuery
	if cbor.Unmarshal(msg.Body, &qry) != nil {
		return rsp
	}
	ans := bindingAnswer{Bound: crd.bindings.find(qry, crd.set.Clock.Now()), Builds: map[string][]string{}}
	for _, pool := range qry.Pools {
		ans.Builds[pool] = crd.set.Control.View().KnownBuilds(pool)
	}
	if body, err := cbor.Marshal(ans); err == nil {
		rsp.Kind, rsp.Body = peer.OK, body
	}
	return rsp
}
