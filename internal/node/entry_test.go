package node

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
)

// oddEntries are entries that another writer may leave among those of the endpoints, by their names. Each is the
// text of a JSON object whose address is that of an endpoint that serves.
func oddEntries(addr string) map[string]string {
	const form = `{"service":%s,"address":%s,"zone":%s,"version":%s,"slots":%s,"state":%s,"coldLeftMs":%s,"sequence":%s%s}`
	usual := []any{`"engines"`, fmt.Sprintf("%q", addr), `"dc1"`, `"v1"`, "8", `"ready"`, "0", "1", ""}
	with := func(field int, text string) string {
		fields := slices.Clone(usual)
		fields[field] = text
		return fmt.Sprintf(form, fields...)
	}
	deep := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	long := `"` + strings.Repeat("x", 200<<10) + `"`
	list := map[string]string{
		"empty object": "{}", "empty": " ", "null": "null", "number": "1e999", "bytes": "\xff\xfe\x00", "list": "[]", "cut": `{"service":"engines"`,
		"deep": deep(100_000), "deep in object": strings.Repeat(`{"a":`, 100_000), "deep and whole": strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000),
		"port too large": with(1, `"10.0.0.1:99999"`), "port negative": with(1, `"10.0.0.1:-1"`), "port zero": with(1, `"10.0.0.1:0"`), "port missing": with(1, `"10.0.0.1"`), "port huge": with(1, `"10.0.0.1:18446744073709551617"`),
		"host name": with(1, `"engine.example:80"`), "address with path": with(1, `"10.0.0.1:80/x"`), "address with line": with(1, `"10.0.0.1:80\r\nA: b"`), "unspecified": with(1, `"0.0.0.0:0"`), "zone in address": with(1, `"[fe80::1%25x]:80"`),
		"service long": with(0, long), "zone long": with(2, long), "build long": with(3, long), "build deep": with(3, deep(9_000)), "unknown field deep": with(8, `,"more":`+deep(9_000)), "unknown field too deep": with(8, `,"more":`+deep(20_000)),
		"twice": with(8, `,"slots":-1`), "other case": with(8, `,"SLOTS":"x"`), "state": with(5, `"Ready"`), "state is list": with(5, "[]"),
		"born negative": with(8, `,"born":-1`), "born too large": with(8, `,"born":1e300`),
		"born largest": with(8, fmt.Sprint(`,"born":`, int64(math.MaxInt64))),
	}
	for name, number := range map[string]string{"too large": "1e999", "large": "1e300", "largest": fmt.Sprint(math.MaxInt64), "beyond": "9223372036854775808", "smallest": fmt.Sprint(math.MinInt64), "part": "0.5", "text": `"8"`, "null": "null"} {
		list["slots "+name], list["cold "+name], list["sequence "+name] = with(4, number), with(6, number), with(7, number)
	}
	return list
}

var _ = ginkgo.Describe("an odd entry among those of the endpoints", func() {
	// Guards against instances that end, or no longer follow the list, because of one entry of another writer. A few
	// are valid, and belong to an endpoint that serves; the others cost themselves alone.
	ginkgo.It("costs that entry alone", func() {
		tbd := newTestbed(3)
		for name, text := range oddEntries(tbd.servers[tbd.engines[0].ID()].Addr()) {
			tbd.store.PutEndpointText("odd "+name, text)
		}
		tbd.engines = append(tbd.engines, tbd.add("engines", "added"))
		isListed := func(nod *Node) bool {
			return slices.ContainsFunc(nod.ctl.View().Endpoints(), func(ep proto.Endpoint) bool { return ep.ID.Name() == "added" && !ep.Leaving })
		}
		for _, nod := range tbd.nodes {
			eventually(func() bool { return isListed(nod) }, drainTime).Should(gomega.BeTrue(), "%s", nod.ctl.Self())
		}
		// The endpoint refuses what is meant for the valid ones, until all of them are known for that.
		for i := range 60 {
			rqt, tries := partitionRequests[i%len(partitionRequests)], 0
			eventually(func() int {
				tries++
				rqt.id = fmt.Sprint("beside-odd-", i, "-", tries)
				return tbd.send(i%3, rqt).status
			}, pollTimeout).Should(equal(http.StatusOK), rqt.path)
		}
		tbd.store.RemoveEndpoint("added")
		for _, nod := range tbd.nodes {
			eventually(func() bool { return isListed(nod) }, drainTime).Should(gomega.BeFalse(), "%s", nod.ctl.Self())
		}
	})
})
