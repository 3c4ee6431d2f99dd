// Package demo runs the whole path in one process: a platform, two instances
// with the real code, four pools and a booking service, over loopback sockets.
//
// It shows the main job to a newcomer and proves it to CI: whatever is amiss is
// said and makes it fail.
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
	workspace = "corella-track"
	nodes     = 2
	startWait = 8 * time.Second
	runFor    = 14 * time.Second
	keyLife   = clock.Minute
)

// world is all that the demo starts.
type world struct {
	out      io.Writer
	cancel   context.CancelFunc
	platform *stand.Server
	booking  *stand.Endpoint
	nodes    []*entry.Node
	servers  []*stand.Server
}

// Run runs the demo and tells what it does; an error says what was amiss.
func Run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), runFor)
	defer cancel()
	zlog.RedirectLibraries(zerolog.Nop())
	wld := &world{out: out, cancel: cancel}
	defer wld.close()
	if err := wld.start(ctx); err != nil {
		return err
	}
	if err := wld.publish(ctx); err != nil {
		return err
	}
	cli := caller.New([]string{wld.nodes[0].CallerAddr()}, workspace, "", "dc1")
	if err := wld.awaitPools(ctx, cli); err != nil {
		return err
	}
	if err := wld.generate(ctx, cli); err != nil {
		return err
	}
	return wld.book(ctx, cli)
}

func (wld *world) close() {
	for _, nod := range wld.nodes {
		nod.Kill()
	}
	wld.cancel()
	for _, srv := range wld.servers {
		srv.Close()
	}
}

func (wld *world) say(format string, args ...any) {
	_, _ = fmt.Fprintf(wld.out, format+"\n", args...)
}

func (wld *world) serve(ctx context.Context, handler *stand.Endpoint, pool, zone string) error {
	srv, err := stand.Serve("127.0.0.1:0", handler.Handler())
	if err != nil {
		return err
	}
	wld.servers = append(wld.servers, srv)
	inst := wire.Instance{ID: handler.ID(), Addr: srv.Addr(), Pool: pool, Zone: zone, State: wire.StateLive}
	go stand.Enlist(ctx, "http://"+wld.platform.Addr(), inst)
	return nil
}

func (wld *world) start(ctx context.Context) error {
	plt := stand.NewPlatform(clock.Clock{}, 3*clock.Day, 200)
	srv, err := stand.Serve("127.0.0.1:0", plt.Handler())
	if err != nil {
		return err
	}
	wld.platform = srv
	wld.servers = append(wld.servers, srv)
	wld.booking = stand.NewEndpoint("booking-1", 10, 8)
	pools := map[string][]*stand.Endpoint{
		"encoders":   {stand.NewEndpoint("encoder-1", 5, 8)},
		"retrievers": {stand.NewEndpoint("retriever-1", 8, 8)},
		"rerankers":  {stand.NewEndpoint("reranker-1", 6, 8)},
		"planners":   {stand.NewEngine("planner-1", 5, 16), stand.NewEngine("planner-2", 5, 16)},
		"booking":    {wld.booking},
	}
	for pool, epts := range pools {
		for _, ept := range epts {
			if err := wld.serve(ctx, ept, pool, "dc1"); err != nil {
				return err
			}
		}
	}
	wld.say("platform at %s", srv.Addr())
	return wld.startNodes()
}

func (wld *world) startNodes() error {
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
`, i+1, wld.platform.Addr(), resumeKey)
		set, fts := conf.Parse([]byte(text))
		if set == nil {
			return fts.Err()
		}
		nod, err := entry.New(set, memoryKeys(ath), zerolog.Nop())
		if err != nil {
			return err
		}
		nod.Start()
		wld.nodes = append(wld.nodes, nod)
		wld.say("instance %d: callers %s, operators %s", i+1, nod.CallerAddr(), nod.OpsAddr())
	}
	return nil
}

// memoryKeys keeps the link's keys in memory.
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

func (wld *world) publish(ctx context.Context) error {
	ops := opers.New(wld.nodes[0].OpsAddr())
	for service, text := range map[string]string{"planning": planningDoc, "booking": bookingDoc} {
		pub, err := ops.PublishReady(ctx, service, wire.Publish{ID: ident.NewID(), Text: text, By: "demo", WaitMs: 5 * clock.Second})
		if err != nil {
			return err
		}
		wld.say("document %s: %s at revision %d, in force at all %d instances: %t, after %d ms", service, pub.Verdict, pub.Revision, nodes, pub.InForce, pub.TookMs)
		if pub.Verdict != "accepted" || !pub.InForce {
			return fmt.Errorf("document %s is not in force: %s %s, behind %v", service, pub.Verdict, pub.Detail, pub.Behind)
		}
	}
	return nil
}

// awaitPools waits until a request passes, for the instance list lags.
func (wld *world) awaitPools(ctx context.Context, cli *caller.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		ans := cli.Call(ctx, "planning", wire.Submit{Input: "warm up", MaxTokens: 1}, nil)
		if ans.Outcome == outcm.Done.String() {
			return nil
		}
		if ctx.Err() != nil || ans.Reason != outcm.NoEndpoint.String() {
			return fmt.Errorf("the path does not open: %s, %s: %s", ans.Outcome, ans.Reason, ans.Detail)
		}
		caller.WaitRetryAfter(ctx, ans)
	}
}

func (wld *world) generate(ctx context.Context, cli *caller.Client) error {
	wld.say("\ngeneration, streamed:")
	count := 0
	ans := cli.Call(ctx, "planning", wire.Submit{Input: "draft a worksite plan for Emerald yard", Stream: true, MaxTokens: 12}, func(tok wire.Token) {
		count++
		_, _ = fmt.Fprint(wld.out, tok.Text)
	})
	wld.say("")
	wld.tell(ans)
	if ans.Outcome != outcm.Done.String() || count != 12 || ans.Count != 12 {
		return fmt.Errorf("the stream is not whole: %s, %s, %d of 12 tokens", ans.Outcome, ans.Reason, count)
	}
	return nil
}

func (wld *world) book(ctx context.Context, cli *caller.Client) error {
	wld.say("\nbooking, sent twice with one key:")
	sub := wire.Submit{
		Request: "confirm", Input: "possession 4711, Emerald yard, 22:00-04:00", First: true,
		Key: "possession-4711", ExpiresMs: clock.Clock{}.Now() + keyLife,
	}
	first := cli.Call(ctx, "booking", sub, nil)
	wld.tell(first)
	sub.First = false
	second := cli.Call(ctx, "booking", sub, nil)
	wld.tell(second)
	ran := len(wld.booking.Executions())
	wld.say("the booking service ran it %d time(s)", ran)
	switch {
	case first.Outcome != outcm.Done.String() || second.Outcome != outcm.Done.String():
		return fmt.Errorf("a booking was not done: %s then %s", first.Reason, second.Reason)
	case first.Output != second.Output:
		return fmt.Errorf("the answers differ: %q and %q", first.Output, second.Output)
	case ran != 1:
		return fmt.Errorf("the booking ran %d times", ran)
	}
	wld.say("\nall as it should be")
	return nil
}

func (wld *world) tell(ans wire.Answer) {
	for _, st := range ans.Stages {
		wld.say("  stage %-9s at %-12s %4d ms (endpoint %d ms, attempts %d)", st.Name, st.Endpoint, st.Ms, st.EngineMs, st.Attempts)
	}
	wld.say("  outcome %s, reason %s, answer %q, tokens %d", ans.Outcome, ans.Reason, ans.Output, ans.Count)
}
