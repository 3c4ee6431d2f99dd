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
	defaultDeadline = 3000 * time.Millisecond
	// answerGrace is how long a caller waits beyond its deadline. A later answer is a violation.
	answerGrace = 1500 * time.Millisecond
	// Where answers are of varied length, deadlines are longDeadline, which exceeds the longest
	// answer including its stages. One request in shortDeadlineOneIn has a deadline between
	// minDeadline and defaultDeadline, however long its answer takes.
	longDeadline       = 9 * time.Second
	minDeadline        = time.Second
	shortDeadlineOneIn = 4
	// One request in preopenedOneIn is sent on a connection opened up to maxPreopenAge earlier:
	// such a connection has carried no request when a shutdown begins.
	preopenedOneIn = 4
	maxPreopenAge  = 900 * time.Millisecond
	// Some callers cache addresses for staleTTLFactor times the TTL of the entries.
	staleTTLFactor = 3
)

// requestKind is a route with the properties of its requests.
type requestKind struct {
	route  string
	method string
	// atMostOnce requests may run once at most; stream requests are answered by events.
	atMostOnce bool
	stream     bool
	items      string
}

var requestKinds = []requestKind{
	{route: "booking", method: http.MethodPost, atMostOnce: true},
	{route: "log", method: http.MethodGet},
	{route: "stream", method: http.MethodPost, stream: true},
	{route: "stream-once", method: http.MethodPost, stream: true, atMostOnce: true},
	{route: "stream-staged", method: http.MethodPost, stream: true, atMostOnce: true, items: "2,3"},
}

// fullStream is the complete body of a streamed answer.
const fullStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

// attempt is one request as its caller saw it.
type attempt struct {
	requestKind
	id   string
	path string
	body string
	// prompt lists the parts of the prompt, empty for none.
	prompt      string
	key         string
	version     int
	ins         *instance
	incarnation int
	// answerTime is how long an endpoint takes to answer; zero stands for the usual few
	// milliseconds.
	answerTime time.Duration
	deadline   time.Duration
	sent       time.Time
	ended      time.Time
	// runs is the number of executions at endpoints.
	runs int
	// localAddr is the local address of the connection on which the request was sent, dialedAt
	// the time at which that connection was opened.
	localAddr string
	dialedAt  time.Time
	// steady reports that the instance was neither disturbed nor restarted around the attempt;
	// undisturbed that it was not disturbed from settleTime before the attempt to its end, though
	// its process may have ended.
	steady      bool
	undisturbed bool
	// resumes is the stream that the attempt resumes after an event, nil for none.
	resumes *stream
	after   int
	// partitioned reports that the instance was partitioned from all endpoints around the attempt.
	partitioned bool
	status      int
	header      http.Header
	answer      string
	// closeDelimited reports that the answer ended with its connection.
	closeDelimited bool
	err            error
}

// caller fetches addresses and sends requests until the run is over.
type caller struct {
	sr   *soakRun
	name string
	rng  *rand.Rand
	cli  *http.Client
	n    int
}

func (sr *soakRun) newCaller(n int) *caller {
	trn := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	trn.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		// Callers know the address of the instance and connect to the proxy in front of it.
		for _, ins := range sr.insts {
			if ins.callerAddr == addr {
				addr = ins.frontProxy.addr()
			}
		}
		return dial(ctx, addr)
	}
	return &caller{
		sr: sr, name: fmt.Sprintf("c%d", n), rng: rand.New(rand.NewPCG(sr.seed, uint64(n+100))),
		cli: &http.Client{Transport: trn},
	}
}

// timedConn is a connection with the time at which it was opened.
type timedConn struct {
	net.Conn
	openedAt time.Time
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	dlr := net.Dialer{Timeout: time.Second}
	con, err := dlr.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: con, openedAt: time.Now()}, nil
}

// run sends requests until the context ends. Some callers cache addresses for longer than the
// TTL.
func (clr *caller) run(ctx context.Context) {
	ttl := clr.sr.params.entryTTL
	if clr.rng.IntN(2) == 0 {
		ttl *= staleTTLFactor
	}
	var addrs []string
	var until time.Time
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if list := clr.fetchAddresses(); list != nil {
				addrs, until = list, time.Now().Add(ttl)
			}
		}
		if len(addrs) > 0 {
			clr.send(clr.instanceAt(addrs[clr.rng.IntN(len(addrs))]), requestKinds[clr.rng.IntN(len(requestKinds))])
		}
		time.Sleep(time.Duration(5+clr.rng.IntN(20)) * time.Millisecond)
	}
	clr.cli.CloseIdleConnections()
}

// runSticky sends requests to one instance until it is unreachable, then to another one.
func (clr *caller) runSticky(ctx context.Context) {
	for ctx.Err() == nil {
		ins := clr.sr.insts[clr.rng.IntN(len(clr.sr.insts))]
		for reached := true; reached && ctx.Err() == nil; {
			knd, savedClient := requestKinds[clr.rng.IntN(len(requestKinds))], clr.cli
			if clr.rng.IntN(preopenedOneIn) == 0 {
				clr.preopen(ins)
			}
			reached = clr.send(ins, knd).status > 0
			clr.cli = savedClient
			time.Sleep(time.Duration(20+clr.rng.IntN(80)) * time.Millisecond)
		}
	}
	clr.cli.CloseIdleConnections()
}

// preopen makes the next request use a connection that was opened some time before.
func (clr *caller) preopen(ins *instance) {
	con, err := dial(context.Background(), ins.frontProxy.addr())
	if err != nil {
		return
	}
	time.Sleep(drawBetween(clr.rng, 0, maxPreopenAge))
	trn := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	trn.DialContext = func(context.Context, string, string) (net.Conn, error) { return con, nil }
	clr.cli = &http.Client{Transport: trn}
}

// fetchAddresses queries up to three instances for the addresses to use.
func (clr *caller) fetchAddresses() []string {
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		if list := fake.Resolve(cli, clr.sr.insts[clr.rng.IntN(len(clr.sr.insts))].entriesAddr); len(list) > 0 {
			return list
		}
	}
	return nil
}

func (clr *caller) instanceAt(addr string) *instance {
	for _, ins := range clr.sr.insts {
		if ins.callerAddr == addr {
			return ins
		}
	}
	clr.sr.violation("address %s in an entry belongs to no instance", addr)
	return clr.sr.insts[0]
}

// runVersionProbe repeatedly requests a route that only the latest or the previous version of the
// document has.
func (clr *caller) runVersionProbe(ctx context.Context) {
	for ctx.Err() == nil {
		version, _ := clr.sr.latest()
		version = max(1, version-clr.rng.IntN(2))
		clr.sendQuick(clr.sr.insts[clr.rng.IntN(len(clr.sr.insts))], requestKind{route: versionRoute(version), method: http.MethodGet}, permanentKey, version)
		time.Sleep(25 * time.Millisecond)
	}
}

func (clr *caller) send(ins *instance, knd requestKind) *attempt {
	_, key := clr.sr.latest()
	if clr.rng.IntN(2) == 0 {
		key = permanentKey
	}
	att := &attempt{requestKind: knd, key: key, ins: ins, deadline: defaultDeadline}
	if clr.sr.params.variedAnswers {
		att.answerTime, att.deadline = clr.sr.params.drawAnswerTime(clr.rng), longDeadline
		if clr.rng.IntN(shortDeadlineOneIn) == 0 {
			att.deadline = drawBetween(clr.rng, minDeadline, defaultDeadline)
		}
	}
	if knd.route == resumableRoute && clr.sr.hasBuilds() {
		return clr.runStream(att)
	}
	return clr.do(att)
}

// sendQuick sends one request whose answer takes a few milliseconds, and checks the answer.
func (clr *caller) sendQuick(ins *instance, knd requestKind, key string, version int) *attempt {
	return clr.do(&attempt{requestKind: knd, key: key, version: version, ins: ins, deadline: defaultDeadline})
}

// do sends one request and checks its answer.
func (clr *caller) do(att *attempt) *attempt {
	clr.n++
	att.id, att.path, att.sent = fmt.Sprintf("%s-%d", clr.name, clr.n), "/"+att.route+"/x?n="+strconv.Itoa(clr.n), time.Now()
	ins, knd := att.ins, att.requestKind
	switch {
	case att.resumes != nil:
		att.path, att.body = att.resumes.first.path, att.resumes.first.body
	case att.body != "":
		// The same request again, under another ID.
		att.path = "/" + att.route + "/x?n=same"
	case knd.method == http.MethodPost:
		att.body = "body of " + att.id
	}
	headers := map[string]string{}
	if knd.items != "" {
		headers[fake.HeaderItems], headers[fake.HeaderItemKey] = knd.items, "pk-"+att.id
	}
	if att.prompt != "" {
		headers[fake.HeaderPrefix], headers[fake.HeaderTokens] = att.prompt, promptTokens
	}
	if att.resumes != nil {
		headers[fake.HeaderLastEvent], headers[fake.HeaderResumes] = strconv.Itoa(att.after), att.resumes.first.id
	}
	att.incarnation, _, _ = ins.processState()
	steady := ins.steady(att.sent)
	clr.sr.mtx.Lock()
	clr.sr.attempts[att.id] = att
	clr.sr.order = append(clr.sr.order, att)
	clr.sr.mtx.Unlock()
	req, err := fake.Request(knd.method, ins.callerAddr, att.path, host, att.id, strconv.FormatInt(att.deadline.Milliseconds(), 10), att.key, att.body, headers)
	if err != nil {
		panic(err)
	}
	// net/http repeats requests whose body it can rewind; an attempt is a single request.
	req.GetBody = nil
	clr.roundTrip(att, req)
	incarnation, _, _ := ins.processState()
	att.ended = time.Now()
	att.undisturbed = steady && ins.undisturbed(att.sent)
	// A long answer takes longer than settleTime, after which a fault does not count any more.
	att.steady = steady && incarnation == att.incarnation && ins.steady(att.ended) && (att.answerTime == 0 || att.undisturbed)
	att.partitioned = ins.partitionedSince(att.sent)
	clr.sr.check(att)
	return att
}

func (clr *caller) roundTrip(att *attempt, req *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), att.deadline+answerGrace)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) {
			att.localAddr, att.dialedAt = inf.Conn.LocalAddr().String(), inf.Conn.(*timedConn).openedAt
		},
	})
	res, err := clr.cli.Do(req.WithContext(ctx))
	if err != nil {
		att.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	att.closeDelimited = res.ContentLength < 0 && len(res.TransferEncoding) == 0
	att.status, att.header, att.answer, att.err = res.StatusCode, res.Header, string(text), err
}
