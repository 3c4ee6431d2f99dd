package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"amaranthvalve/platform/fake"
)

const (
	deadline = 3000 * time.Millisecond
	// patience is how long a caller waits beyond its deadline: an answer that
	// takes longer is a broken promise.
	patience = 1500 * time.Millisecond
	// longDeadline is longer than the longest answer with its stages; one caller's
	// request in hurriedOf has a deadline between leastDeadline and the usual one,
	// whatever its answer takes.
	longDeadline  = 9 * time.Second
	leastDeadline = time.Second
	hurriedOf     = 4
	// One request in openedOf goes over a connection that was opened up to mostOpened
	// before: nothing was sent on it when a stop began.
	openedOf   = 4
	mostOpened = 900 * time.Millisecond
	// keptLonger times as long as told is how long some callers keep addresses.
	keptLonger = 3
)

// kind is a kind of request.
type kind struct {
	route  string
	method string
	// once tells that it may run once at most, stream that it is answered by events.
	once   bool
	stream bool
	pieces string
}

var kinds = []kind{
	{route: "booking", method: http.MethodPost, once: true},
	{route: "log", method: http.MethodGet},
	{route: "stream", method: http.MethodPost, stream: true},
	{route: "stream-once", method: http.MethodPost, stream: true, once: true},
	{route: "stream-staged", method: http.MethodPost, stream: true, once: true, pieces: "2,3"},
}

// wholeStream is what a stream's caller gets.
const wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

// attempt is one request as its caller saw it.
type attempt struct {
	kind
	id     string
	path   string
	body   string
	key    string
	number int
	ins    *instance
	life   int
	// lasts is how long the answer takes at an endpoint, zero for next to nothing.
	lasts    time.Duration
	deadline time.Duration
	sent     time.Time
	ended    time.Time
	// runs is how many endpoints ran it.
	runs int
	// from is the caller's end of the connection that it was sent on, dialled when that
	// was opened.
	from    string
	dialled time.Time
	// calm tells that nothing was done to the instance around the attempt, quiet
	// that nothing was from a while before it to its end, in which the process may
	// have ended.
	calm   bool
	quiet  bool
	status int
	header http.Header
	answer string
	err    error
}

// caller asks for addresses and sends requests until the run is over.
type caller struct {
	wld  *world
	name string
	rng  *rand.Rand
	cli  *http.Client
	n    int
}

func (wld *world) newCaller(n int) *caller {
	trn := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	trn.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		// Callers come through the proxy before the instance that they know.
		for _, ins := range wld.insts {
			if ins.calls == addr {
				addr = ins.front.addr()
			}
		}
		return dial(ctx, addr)
	}
	return &caller{
		wld: wld, name: fmt.Sprintf("c%d", n), rng: rand.New(rand.NewPCG(wld.seed, uint64(n+100))),
		cli: &http.Client{Transport: trn},
	}
}

// dialled is a connection that knows when it was opened.
type dialled struct {
	net.Conn
	at time.Time
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	dlr := net.Dialer{Timeout: time.Second}
	con, err := dlr.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &dialled{Conn: con, at: time.Now()}, nil
}

// run keeps asking until the context ends. Some callers keep addresses for longer
// than they were told.
func (clr *caller) run(ctx context.Context) {
	keep := clr.wld.trm.keep
	if clr.rng.IntN(2) == 0 {
		keep *= keptLonger
	}
	var addrs []string
	var until time.Time
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if list := clr.ask(); list != nil {
				addrs, until = list, time.Now().Add(keep)
			}
		}
		if len(addrs) > 0 {
			clr.send(clr.instance(addrs[clr.rng.IntN(len(addrs))]), kinds[clr.rng.IntN(len(kinds))])
		}
		time.Sleep(time.Duration(5+clr.rng.IntN(20)) * time.Millisecond)
	}
	clr.cli.CloseIdleConnections()
}

// stay goes on asking one instance until it can't be reached, then another one.
func (clr *caller) stay(ctx context.Context) {
	for ctx.Err() == nil {
		ins := clr.wld.insts[clr.rng.IntN(len(clr.wld.insts))]
		for reached := true; reached && ctx.Err() == nil; {
			knd, kept := kinds[clr.rng.IntN(len(kinds))], clr.cli
			if clr.rng.IntN(openedOf) == 0 {
				clr.opened(ins)
			}
			reached = clr.send(ins, knd).status > 0
			clr.cli = kept
			time.Sleep(time.Duration(20+clr.rng.IntN(80)) * time.Millisecond)
		}
	}
	clr.cli.CloseIdleConnections()
}

// opened makes the next request go over a connection that was opened some time before it.
func (clr *caller) opened(ins *instance) {
	con, err := dial(context.Background(), ins.front.addr())
	if err != nil {
		return
	}
	time.Sleep(between(clr.rng, 0, mostOpened))
	trn := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	trn.DialContext = func(context.Context, string, string) (net.Conn, error) { return con, nil }
	clr.cli = &http.Client{Transport: trn}
}

// ask asks up to three instances which addresses to use.
func (clr *caller) ask() []string {
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		if list := fake.Addresses(cli, clr.wld.insts[clr.rng.IntN(len(clr.wld.insts))].entries); len(list) > 0 {
			return list
		}
	}
	return nil
}

func (clr *caller) instance(addr string) *instance {
	for _, ins := range clr.wld.insts {
		if ins.calls == addr {
			return ins
		}
	}
	clr.wld.breaks("an address was named that is no instance's: %s", addr)
	return clr.wld.insts[0]
}

// probe asks now and then for a route that only the newest or the version before has.
func (clr *caller) probe(ctx context.Context) {
	for ctx.Err() == nil {
		number, _ := clr.wld.newest()
		number = max(1, number-clr.rng.IntN(2))
		clr.sendTo(clr.wld.insts[clr.rng.IntN(len(clr.wld.insts))], kind{route: routeOf(number), method: http.MethodGet}, mainKey, number)
		time.Sleep(25 * time.Millisecond)
	}
}

func (clr *caller) send(ins *instance, knd kind) *attempt {
	_, key := clr.wld.newest()
	if clr.rng.IntN(2) == 0 {
		key = mainKey
	}
	att := &attempt{kind: knd, key: key, ins: ins, deadline: deadline}
	if clr.wld.trm.varied {
		att.lasts, att.deadline = clr.wld.trm.lasts(clr.rng), longDeadline
		if clr.rng.IntN(hurriedOf) == 0 {
			att.deadline = between(clr.rng, leastDeadline, deadline)
		}
	}
	return clr.do(att)
}

// sendTo sends one request whose answer takes next to nothing, and judges it.
func (clr *caller) sendTo(ins *instance, knd kind, key string, number int) *attempt {
	return clr.do(&attempt{kind: knd, key: key, number: number, ins: ins, deadline: deadline})
}

// do sends one request and judges its answer.
func (clr *caller) do(att *attempt) *attempt {
	clr.n++
	att.id, att.path, att.sent = fmt.Sprintf("%s-%d", clr.name, clr.n), "/"+att.route+"/x?n="+strconv.Itoa(clr.n), time.Now()
	ins, knd := att.ins, att.kind
	switch {
	case att.body != "":
		// The same request again, under another name.
		att.path = "/" + att.route + "/x?n=same"
	case knd.method == http.MethodPost:
		att.body = "body of " + att.id
	}
	headers := map[string]string{}
	if knd.pieces != "" {
		headers[fake.HeaderPieces], headers[fake.HeaderPieceKey] = knd.pieces, "pk-"+att.id
	}
	att.life, _, _ = ins.standing()
	calm := ins.calm(att.sent)
	clr.wld.mtx.Lock()
	clr.wld.attempts[att.id] = att
	clr.wld.order = append(clr.wld.order, att)
	clr.wld.mtx.Unlock()
	req, err := fake.Request(knd.method, ins.calls, att.path, host, att.id, strconv.FormatInt(att.deadline.Milliseconds(), 10), att.key, att.body, headers)
	if err != nil {
		panic(err)
	}
	// The library repeats what it can rewind; each attempt is to be one request.
	req.GetBody = nil
	clr.take(att, req)
	life, _, _ := ins.standing()
	att.ended = time.Now()
	att.quiet = calm && ins.quiet(att.sent)
	// A long wait outlasts the time for which a trouble counts.
	att.calm = calm && life == att.life && ins.calm(att.ended) && (att.lasts == 0 || att.quiet)
	clr.wld.judge(att)
	return att
}

func (clr *caller) take(att *attempt, req *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), att.deadline+patience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) {
			att.from, att.dialled = inf.Conn.LocalAddr().String(), inf.Conn.(*dialled).at
		},
	})
	res, err := clr.cli.Do(req.WithContext(ctx))
	if err != nil {
		att.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	att.status, att.header, att.answer, att.err = res.StatusCode, res.Header, string(text), err
}
