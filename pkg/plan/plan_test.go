package plan

import (
	"testing"

	"github.com/onsi/gomega"
)

func draft() Draft {
	return Draft{
		Version: 7,
		Routes: []DraftRoute{
			{Name: "all", Host: "a.example", Prefix: "/a/", Kind: "idempotent", Targets: []DraftTarget{{Pool: "plain", Weight: 1}}},
			{Name: "part", Host: "a.example", Prefix: "/a/b/", Kind: "streaming", Resumable: true, Targets: []DraftTarget{{Pool: "plain", Weight: 3}, {Pool: "engines", Weight: 1}}},
		},
		Pools: []DraftPool{
			{Name: "plain"},
			{Name: "engines", Engine: &DraftEngine{Slots: 8}},
			{Name: "makers", Batch: &DraftBatch{Slots: 1, MaxItems: 4}},
		},
		Workspaces: []DraftWorkspace{{Name: "corella", Tokens: []string{"k1", "k2"}}, {Name: "shiretoko", Tokens: []string{"k2", "k3"}}},
	}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := Compile(draft())
	for path, want := range map[string]string{"/a/x": "all", "/a/b/x": "part", "/a/b": "all", "/a": "", "/b/": ""} {
		rte, ok := pln.Match("a.example", path)
		gom.Expect(ok).To(gomega.Equal(want != ""), path)
		if ok {
			gom.Expect(rte.Name()).To(gomega.Equal(want), path)
		}
	}
	_, ok := pln.Match("b.example", "/a/x")
	gom.Expect(ok).To(gomega.BeFalse())
}

func TestTargetsByWeight(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := Compile(draft())
	rte, _ := pln.Match("a.example", "/a/b/x")
	gom.Expect(rte.Target(0)).To(gomega.Equal("plain"))
	gom.Expect(rte.Target(0.74)).To(gomega.Equal("plain"))
	gom.Expect(rte.Target(0.76)).To(gomega.Equal("engines"))
	gom.Expect(rte.Target(1)).To(gomega.Equal("engines"))
	gom.Expect(rte.Repeatable()).To(gomega.BeTrue())
}

// TestErrorsAreCollected: each invalid part is reported with its position and left out;
// the rest is used.
func TestErrorsAreCollected(t *testing.T) {
	gom := gomega.NewWithT(t)
	drf := draft()
	drf.Routes = append(drf.Routes,
		DraftRoute{Name: "kind", Host: "a", Prefix: "/k/", Kind: "sometimes"},
		DraftRoute{Name: "slash", Host: "a", Prefix: "/k", Kind: "idempotent"},
		DraftRoute{Name: "pool", Host: "a", Prefix: "/k/", Kind: "idempotent", Targets: []DraftTarget{{Pool: "nobody", Weight: 1}}},
		DraftRoute{Name: "stage", Host: "a", Prefix: "/k/", Kind: "idempotent", Targets: []DraftTarget{{Pool: "plain", Weight: 1}}, Stages: []DraftStage{{Pool: "plain"}}},
		DraftRoute{Name: "after", Host: "a", Prefix: "/k/", Kind: "idempotent", Targets: []DraftTarget{{Pool: "plain", Weight: 1}}, Stages: []DraftStage{{Pool: "makers", After: []int{0}}}},
		DraftRoute{Name: "weights", Host: "a", Prefix: "/k/", Kind: "idempotent", Targets: []DraftTarget{{Pool: "plain"}}},
	)
	drf.Pools = append(drf.Pools, DraftPool{Name: "empty", Batch: &DraftBatch{}})
	pln, fts := Compile(drf)
	gom.Expect(pln.Routes()).To(gomega.HaveLen(2))
	var texts []string
	for _, ft := range fts {
		texts = append(texts, ft.Error())
	}
	gom.Expect(texts).To(gomega.HaveLen(8))
	for i, part := range []string{`services[3] "empty"`, `kind "sometimes" is not one of`, "begin and end with a slash", `"nobody" is not defined`, `"plain" is not defined or has no batch settings`, "in a cycle", "sum to 0", `belongs to workspace "corella"`} {
		gom.Expect(texts[i]).To(gomega.ContainSubstring(part))
	}
}

// TestTokensAreExclusive: a token listed under two workspaces belongs to the first one,
// so that the second can't act as the first.
func TestTokensAreExclusive(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := Compile(draft())
	for token, want := range map[string]string{"k1": "corella", "k2": "corella", "k3": "shiretoko"} {
		wsp, _ := pln.Workspace(token)
		gom.Expect(wsp.Name()).To(gomega.Equal(want))
	}
	_, ok := pln.Workspace("")
	gom.Expect(ok).To(gomega.BeFalse())
}

// Guards against a service that is open to all once the last token is taken away, or the last workspace.
func TestTokensAreRequiredWithoutAny(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, drf := range []Draft{{Workspaces: []DraftWorkspace{{Name: "corella"}}}, {Workspaces: []DraftWorkspace{{}}}, {Authenticated: true}} {
		pln, _ := Compile(drf)
		gom.Expect(pln.RequiresToken()).To(gomega.BeTrue())
	}
	pln, _ := Compile(Draft{})
	gom.Expect(pln.RequiresToken()).To(gomega.BeFalse())
}

// Guards against an empty token, by which callers without any would be a workspace.
func TestEmptyTokenBelongsToNobody(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, fts := Compile(Draft{Workspaces: []DraftWorkspace{{Name: "corella", Tokens: []string{"", "k1"}}}})
	gom.Expect(fts).To(gomega.ConsistOf(gomega.MatchError(gomega.ContainSubstring(`workspaces[0] "corella": a token is empty`))))
	_, ok := pln.Workspace("")
	gom.Expect(ok).To(gomega.BeFalse())
	_, ok = pln.Workspace("k1")
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestRanks guards against equal urgency of all requests if all workspaces have the same
// priority, as in most documents: they are ranked by route then. All requests of a
// workspace with a better priority go first.
func TestRanks(t *testing.T) {
	gom := gomega.NewWithT(t)
	same, better := 1, 0
	drf := Draft{Pools: []DraftPool{{Name: "p"}}}
	for i, name := range []string{"digest", "plan", "chat"} {
		drf.Routes = append(drf.Routes, DraftRoute{Name: name, Host: "a", Prefix: "/" + name + "/", Kind: "streaming", Priority: i, Targets: []DraftTarget{{Pool: "p", Weight: 1}}})
	}
	drf.Workspaces = []DraftWorkspace{
		{Name: "one", Tokens: []string{"1"}, Priority: &same}, {Name: "two", Tokens: []string{"2"}, Priority: &same},
	}
	ranks := func() map[string][]int {
		pln, fts := Compile(drf)
		gom.Expect(fts).To(gomega.BeEmpty())
		got := map[string][]int{}
		for _, token := range []string{"1", "2"} {
			wsp, _ := pln.Workspace(token)
			for _, rte := range pln.Routes() {
				got[wsp.Name()] = append(got[wsp.Name()], pln.Rank(rte, wsp))
			}
		}
		return got
	}
	got := ranks()
	gom.Expect(got["one"]).To(gomega.Equal(got["two"]))
	gom.Expect(got["one"][0]).To(gomega.BeNumerically("<", got["one"][1]))
	gom.Expect(got["one"][1]).To(gomega.BeNumerically("<", got["one"][2]))
	drf.Workspaces[1].Priority = &better
	got = ranks()
	gom.Expect(got["two"][2]).To(gomega.BeNumerically("<", got["one"][0]))
}

// TestRankedRoutes: only routes that share a stage pool with a route of another priority are admitted by rank.
// All others are served as before.
func TestRankedRoutes(t *testing.T) {
	gom := gomega.NewWithT(t)
	batch := &DraftBatch{Slots: 1, MaxItems: 1, BatchMs: 1, ItemMs: 1, ResultBytes: 1000, ResultTTL: 4000}
	drf := Draft{Pools: []DraftPool{{Name: "p"}, {Name: "shared", Batch: batch}, {Name: "alike", Batch: batch}}}
	for _, raw := range []struct {
		name     string
		priority int
		pools    []string
	}{{"chat", 0, []string{"shared"}}, {"digest", 2, []string{"alike", "shared"}}, {"memo", 2, []string{"alike"}}, {"log", 1, nil}} {
		rte := DraftRoute{Name: raw.name, Host: "a", Prefix: "/" + raw.name + "/", Kind: "streaming", Priority: raw.priority, Targets: []DraftTarget{{Pool: "p", Weight: 1}}}
		for _, pool := range raw.pools {
			rte.Stages = append(rte.Stages, DraftStage{Pool: pool})
		}
		drf.Routes = append(drf.Routes, rte)
	}
	pln, fts := Compile(drf)
	gom.Expect(fts).To(gomega.BeEmpty())
	got := map[string]bool{}
	for _, rte := range pln.Routes() {
		got[rte.Name()] = pln.Ranked(rte)
	}
	gom.Expect(got).To(gomega.Equal(map[string]bool{"chat": true, "digest": true, "memo": false, "log": false}))
}
