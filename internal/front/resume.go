package front

import (
	"context"
	"strconv"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/coord"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/sticky"
)

// binding is the build of a pool at which a stream began. The zero value is that of a stream without events.
type binding struct {
	is    bool
	pool  string
	build string
}

// resumable reports whether the stream may be resumed: what began at an unknown build may not.
func (bnd binding) resumable() bool { return !bnd.is || bnd.build != "" }

// allows reports whether the stream may go on at a build.
func (bnd binding) allows(build string) bool { return !bnd.is || bnd.build != "" && bnd.build == build }

// resume binds a request that resumes a stream to the build that began it. Callers name the attempt that
// brought the first event. Without a name the stream is known by its request alone; that may be another
// caller's as well, or from before all instances were lost, so that it is resumed only while all endpoints are, and were, of
// one build.
func (fr *Front) resume(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	if !cl.route.Resumable() || cl.ask.LastEvent == "" && cl.ask.Resumes == "" {
		return nxt(ctx, cl)
	}
	began := fr.set.Clock.Now()
	fnd, onlyBuild := fr.findResumed(ctx, cl)
	res := fr.bindResumed(cl, fnd, onlyBuild)
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("resumes", cl.ask.Resumes).Str("after", cl.ask.LastEvent).Str("pool", fnd.Pool).Str("build", fnd.Build).
		Bool("known", fnd.Known).Bool("only_build", onlyBuild).Int64("find_ms", int64(fr.set.Clock.Since(began))).Str("refused", res.Reason().String()).Msg("stream is to be resumed")
	if res.Outcome() != outcm.Pending {
		return res
	}
	return nxt(ctx, cl)
}

// findResumed returns where the stream of a request began, and whether other instances know of no other build since. That isn't
// asked if the request names the attempt that began the stream.
func (fr *Front) findResumed(ctx context.Context, cl *call) (fnd coord.Bound, onlyBuild bool) {
	if cl.ask.Resumes != "" {
		return fr.coord.FindStream(ctx, targetPools(cl), cl.attemptKey(cl.ask.Resumes)), true
	}
	return fr.coord.FindUnnamed(ctx, targetPools(cl), cl.requestKey())
}

// bindResumed binds a request to where its stream began, or refuses it. onlyBuild is set if other instances know of no
// other build.
func (fr *Front) bindResumed(cl *call, fnd coord.Bound, onlyBuild bool) outcm.Result {
	switch {
	case fnd.Build == "":
		return outcm.New(outcm.NotRun, outcm.BuildUnknown, "it is not known which build began the stream")
	case !fr.pools.HasBuild(fnd.Pool, fnd.Build):
		return outcm.New(outcm.NotRun, outcm.BuildGone, "no endpoint of the build that began the stream serves: "+strconv.Quote(fnd.Build))
	case cl.ask.Resumes == "" && !(onlyBuild && fr.isOnlyBuild(fnd.Pool, fnd.Build)):
		return outcm.New(outcm.NotRun, outcm.BuildUnknown, "the request doesn't name the attempt that began the stream, and several builds serve, or did lately")
	}
	cl.bound = binding{is: true, pool: fnd.Pool, build: fnd.Build}
	return outcm.Result{}
}

// isOnlyBuild reports whether no endpoint of another build of a pool serves, or did for as long as streams may be
// resumed.
func (fr *Front) isOnlyBuild(pool, build string) bool {
	return len(fr.pools.OtherBuilds(pool, build)) == 0 && fr.set.Control.View().ServedBuildOnly(pool, build)
}

// targetPools returns the pools at which a request's stream may have begun.
func targetPools(cl *call) []string {
	var list []string
	for _, tgt := range cl.route.Targets() {
		list = append(list, tgt.Pool)
	}
	return list
}

// attemptKey returns the name of a stream by the attempt that began it. Attempts of other workspaces have
// other keys.
func (cl *call) attemptKey(id string) sticky.Key { return sticky.KeyOf("attempt", cl.wsp, id) }

// requestKey returns the name of a stream by all that its caller sends again.
func (cl *call) requestKey() sticky.Key {
	fpr := cl.fingerprint()
	return sticky.KeyOf("request", cl.wsp, string(fpr[:]), cl.http.Method, cl.ask.ItemKey)
}

// bind records, before an event of a resumable stream is sent to the caller, at which build the stream
// began. A binding is recorded again by each attempt that resumes the stream.
func (run *finalRun) bind(tgt coord.Placement) {
	fr, cl := run.fr, run.cl
	if run.bound || !cl.route.Resumable() {
		return
	}
	run.bound = true
	if !cl.bound.is {
		cl.bound = binding{is: true, pool: cl.pool.Name(), build: tgt.Build}
	}
	id := cl.ask.ID
	if cl.ask.Resumes != "" {
		id = cl.ask.Resumes
	}
	fr.coord.BindStream(fr.set.Control.View(), cl.pool.Name(), cl.bound.build, cl.attemptKey(id), cl.requestKey())
}
