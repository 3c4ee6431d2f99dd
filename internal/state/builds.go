package state

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/sticky"
)

// The builds of each pool are facts that outlast all instances: at which build a stream began is lost with
// these, and a stream that is known by its request alone must not go on at a build that only came later.

const (
	// buildRenewal is the interval at which a build that is listed is recorded again.
	buildRenewal = sticky.Retention / 4
	// maxBuilds bounds the known builds of all pools.
	maxBuilds = 1024
	// maxBuildName bounds the name of a build, in bytes.
	maxBuildName = 64
	// isServed is the value of the fact that a pool has endpoints of a build.
	isServed = "1"
)

// buildBounds bounds the facts on builds: one that is no longer listed is known for as long as bindings are.
var buildBounds = gossip.Bounds{Retention: sticky.Retention + buildRenewal, MaxFacts: maxBuilds}

// servedBuilds has the builds of each pool that were listed lately.
type servedBuilds map[string]map[string]bool

// BuildName returns the name by which instances tell one another of a build: a digest of one that is too long to be stored.
func BuildName(build string) string {
	if len(build) <= maxBuildName {
		return build
	}
	return "xxhash:" + strconv.FormatUint(xxhash.Sum64String(build), 16)
}

// buildKey returns the key of the fact on a build of a pool.
func buildKey(pool, build string) string { return pool + "\x00" + BuildName(build) }

// readBuilds returns the builds that facts describe.
func readBuilds(facts []gossip.Fact) servedBuilds {
	builds := servedBuilds{}
	for _, fct := range facts {
		pool, build, _ := strings.Cut(fct.Key, "\x00")
		if builds[pool] == nil {
			builds[pool] = map[string]bool{}
		}
		builds[pool][build] = true
	}
	return builds
}

// recordBuilds records the builds of the endpoints in a list that was read from the store.
func (ect *endptsCtl) recordBuilds(now clock.Milli) {
	fcl := &ect.ctl.facts
	seen := map[string]bool{}
	var fresh []gossip.Fact
	for _, ep := range ect.list {
		key := buildKey(ep.Pool, ep.Build)
		if ep.Build == "" || seen[key] || !ect.isKnownPool(ep.Pool) {
			continue
		}
		seen[key] = true
		if _, at, ok := fcl.spread.Get(gossip.ServedBuild, key); !ok || now-at >= buildRenewal {
			fresh = append(fresh, fcl.spread.Refresh(gossip.ServedBuild, key, isServed, now))
		}
	}
	fcl.addLocal(fresh, now)
}

// ServedBuildOnly reports whether no endpoint of another build of a pool was listed for as long as streams
// may be resumed. It is false while the builds from before this instance's start are unknown.
func (vw *View) ServedBuildOnly(pool, build string) bool {
	if !vw.buildsKnown {
		return false
	}
	for oth := range vw.served[pool] {
		if oth != BuildName(build) {
			return false
		}
	}
	return true
}

// KnownBuilds returns the names of the builds that endpoints of a pool have, or had lately.
func (vw *View) KnownBuilds(pool string) []string {
	names := slices.Collect(maps.Keys(vw.served[pool]))
	for _, ep := range vw.endpoints {
		if name := BuildName(ep.Build); ep.Pool == pool && ep.Build != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
