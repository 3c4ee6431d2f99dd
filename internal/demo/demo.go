// Package demo runs a complete system in one process: a test double of the platform, two
// instances with the real code, four pools and a booking service, over loopback sockets.
//
// It introduces new developers to the system and is run by CI: the first unexpected
// result ends it with an error.
package demo

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	_ "embed"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/entry"
	"amaranthvalve/internal/opers"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/outcm"
)

//go:embed planning.toml
var planningDoc string

//go:embed booking.toml
var bookingDoc string

const (
	workspace    = "corella-track"
	nodes        = 2
	startTimeout = 8 * time.Second
	runTimeout   = 14 * time.Second
	keyLife      = clock.Minute
)

// cluster has the instances, endpoints and servers that the demo starts.
type cluster struct {
	out      io.Writer
	cancel   context.CancelFunc
	platform *stand.Server
	booking  *stand.Endpoint
	nodes    []*entry.Node
	servers  []*stand.Server
}

// Run runs the demo and prints its steps. It returns an error on the first unexpected result.
func Run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	zlog.RedirectLibraries(zerolog.Nop())
	cls := &cluster{out: out, cancel: cancel}
	defer cls.close()
	if err := cls.start(ctx); err != nil {
		return err
	}
	if err := cls.publish(ctx); err != nil {
		return err
	}
	cli := caller.New([]string{cls.nodes[0].CallerAddr()}, workspace, "", "dc1")
	if err := cls.awaitPools(ctx, cli); err != nil {
		return err
	}
	if err := cls.generate(ctx, cli); err != nil {
		return err
	}
	return cls.book(ctx, cli)
}

func (cls *cluster) close() {
	for _, nod := range cls.nodes {
		nod.Kill()
	}
	cls.cancel()
	for _, srv := range cls.servers {
		srv.Close()
	}
}

func (cls *cluster) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(cls.out, format+"\n", args...)
}

func (cls *cluster) serve(ctx context.Context, ept *stand.Endpoint, pool, zone string) error {
	srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
	if err != nil {
		return err
	}
	cls.servers = append(cls.servers, srv)
	inst := wire.Instance{ID: ept.ID(), Addr: srv.Addr(), Pool: pool, Zone: zone, State: wire.StateLive}
	go stand.Register(ctx, "http://"+cls.platform.Addr(), inst)
	return nil
}

func (cls *cluster) start(ctx context.Context) error {
	plt := stand.NewPlatform(clock.Clock{}, 3*clock.Day, 200)
	srv, err := stand.Serve("127.0.0.1:0", plt.Handler())
	if err != nil {
		return err
	}
	cls.platform = srv
	cls.servers = append(cls.servers, srv)
	cls.booking = stand.NewEndpoint("booking-1", 10, 8)
	pools := map[string][]*stand.Endpoint{
		"encoders":   {stand.NewEndpoint("encoder-1", 5, 8)},
		"retrievers": {stand.NewEndpoint("retriever-1", 8, 8)},
		"rerankers":  {stand.NewEndpoint("reranker-1", 6, 8)},
		"planners":   {stand.NewEngine("planner-1", 5, 16), stand.NewEngine("planner-2", 5, 16)},
		"booking":    {cls.booking},
	}
	for pool, epts := range pools {
		for _, ept := range epts {
			if err := cls.serve(ctx, ept, pool, "dc1"); err != nil {
				return err
			}
		}
	}
	cls.printf("platform at %s", srv.Addr())
	return cls.startNodes()
}

func (cls *cluster) startNodes() error {
	ath, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	resumeKey := ident.NewID()
	for i := range nodes {
		text := fmt.Sprintf(`
caller_addr = "127.0.0.1:0"
ops_addr = "127.0.0.1:0"
peer_addr = "127.0.0.1:0"
zone = "dc%d"
platform = "http://%s"
resume_key_hex = "%s"
tls = { cert = "/dev/null", key = "/dev/null", ca = "/dev/null" }
`, i+1, cls.platform.Addr(), resumeKey)
		set, fts := conf.Parse([]byte(text))
		if set == nil {
			return fts.Err()
		}
		nod, err := entry.New(set, memoryKeys(ath), zerolog.Nop())
		if err != nil {
			return err
		}
		nod.Start()
		cls.nodes = append(cls.nodes, nod)
		cls.printf("instance %d: callers %s, operators %s", i+1, nod.CallerAddr(), nod.OpsAddr())
	}
	return nil
}

// memoryKeys returns the TLS configurations of a peer link, with keys that exist only in memory.
func memoryKeys(ath *peer.Authority) entry.Keys {
	return func() (*tls.Config, *tls.Config, error) {
		pair, err := ath.Issue()
		if err != nil {
			return nil, nil, err
		}
		server, client := peer.TLSConfigsFrom(func() (*tls.Certificate, *x509.CertPool, error) { return pair, ath.Pool(), nil })
		return server, client, nil
	}
}

func (cls *cluster) publish(ctx context.Context) error {
	ops := opers.New(cls.nodes[0].OpsAddr())
	for service, text := range map[string]string{"planning": planningDoc, "booking": bookingDoc} {
		pub, err := ops.PublishReady(ctx, service, wire.Publish{ID: ident.NewID(), Text: text, By: "demo", WaitMs: 5 * clock.Second})
		if err != nil {
			return err
		}
		cls.printf("document %s: %s at revision %d, in force at all %d instances: %t, after %d ms", service, pub.Verdict, pub.Revision, nodes, pub.InForce, pub.TookMs)
		if pub.Verdict != "accepted" || !pub.InForce {
			return fmt.Errorf("document %s is not in force: verdict %s, %s; instances behind: %v", service, pub.Verdict, pub.Detail, pub.Behind)
		}
	}
	return nil
}

// awaitPools waits until a request succeeds. The instance list is not up to date, so that
// the first requests may find no endpoint.
func (cls *cluster) awaitPools(ctx context.Context, cli *caller.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		ans := cli.Call(ctx, "planning", wire.Submit{Input: "warm up", MaxTokens: 1}, nil)
		if ans.Outcome == outcm.Done.String() {
			return nil
		}
		if ctx.Err() != nil || ans.Reason != outcm.NoEndpoint.String() {
			return fmt.Errorf("warm-up request failed: outcome %s, reason %s: %s", ans.Outcome, ans.Reason, ans.Detail)
		}
		caller.WaitRetryAfter(ctx, ans)
	}
}

func (cls *cluster) generate(ctx context.Context, cli *caller.Client) error {
	cls.printf("\ngeneration, streamed:")
	count := 0
	ans := cli.Call(ctx, "planning", wire.Submit{Input: "draft a worksite plan for Emerald yard", Stream: true, MaxTokens: 12}, func(tok wire.Token) {
		count++
		_, _ = fmt.Fprint(cls.out, tok.Text)
	})
	cls.printf("")
	cls.printAnswer(ans)
	if ans.Outcome != outcm.Done.String() || count != 12 || ans.Count != 12 {
		return fmt.Errorf("stream is incomplete: outcome %s, reason %s, %d of 12 tokens", ans.Outcome, ans.Reason, count)
	}
	return nil
}

func (cls *cluster) book(ctx context.Context, cli *caller.Client) error {
	cls.printf("\nbooking, sent twice with one key:")
	sub := wire.Submit{
		Request: "confirm", Input: "possession 4711, Emerald yard, 22:00-04:00", First: true,
		Key: "possession-4711", ExpiresMs: clock.Clock{}.Now() + keyLife,
	}
	first := cli.Call(ctx, "booking", sub, nil)
	cls.printAnswer(first)
	sub.First = false
	second := cli.Call(ctx, "booking", sub, nil)
	cls.printAnswer(second)
	ran := len(cls.booking.Executions())
	cls.printf("the booking service ran it %d time(s)", ran)
	switch {
	case first.Outcome != outcm.Done.String() || second.Outcome != outcm.Done.String():
		return fmt.Errorf("a booking was not done: reason of the first %q, of the second %q", first.Reason, second.Reason)
	case first.Output != second.Output:
		return fmt.Errorf("the answers of one key differ: %q and %q", first.Output, second.Output)
	case ran != 1:
		return fmt.Errorf("the booking service ran the booking %d times, not once", ran)
	}
	cls.printf("\nall checks passed")
	return nil
}

func (cls *cluster) printAnswer(ans wire.Answer) {
	for _, st := range ans.Stages {
		cls.printf("  stage %-9s at %-12s %4d ms (endpoint %d ms, attempts %d)", st.Name, st.Endpoint, st.Ms, st.EngineMs, st.Attempts)
	}
	cls.printf("  outcome %s, reason %s, answer %q, tokens %d", ans.Outcome, ans.Reason, ans.Output, ans.Count)
}
