// Package peer is the link between instances: requests and responses over QUIC with mutual TLS,
// encoded in CBOR.
//
// An instance listens and dials on one UDP socket. A connection to a peer is cached while it is
// used, because a handshake costs more bytes than many requests; at most maxConns are cached, and
// the least recently used one is evicted first. Each request has a stream of its own, so that a
// large response does not delay probes.
//
// The package does not interpret the messages; it refuses peers without a certificate of the same
// authority, and messages longer than maxMessageBytes.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// Error is the error class of this package.
var Error = errs.Class("peer")

const (
	protocol = "amv/1"
	// serverName is the DNS name in every instance's certificate. Instances are identified by
	// address and incarnation, which change with each start; the certificate proves that a process
	// belongs to the system.
	serverName      = "amv-peer"
	maxConns        = 64
	maxMessageBytes = 32 << 20
	// maxStreams bounds the concurrent requests and tunnels of one peer.
	maxStreams    = 1024
	idleTimeout   = 30 * time.Second
	answerTimeout = 5 * time.Second
	// keepAliveInterval is the interval of the keep-alives of a long request, and keepAliveTimeout
	// how long its caller waits for the next one: three may be late or lost before the request
	// fails.
	keepAliveInterval = 200 * time.Millisecond
	keepAliveTimeout  = 700 * time.Millisecond
	// queueKeepAliveInterval and queueKeepAliveTimeout are the same for JoinQueue: a request waits for a slot
	// for some hundred milliseconds, and must have time left to ask another instance.
	queueKeepAliveInterval = 40 * time.Millisecond
	queueKeepAliveTimeout  = 160 * time.Millisecond
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	// Probe checks that the receiver is alive.
	Probe Kind = iota + 1
	// IndirectProbe requests that the receiver probe Target.
	IndirectProbe
	// GetState requests the state of the documents.
	GetState
	// GetAnswer requests the recorded answer of a key.
	GetAnswer
	// OK is the response to a successful request, Nack to a failed one.
	OK
	Nack
	// OrderItems orders items of a stage; ReleaseResults releases results.
	OrderItems
	ReleaseResults
	// PollUpdate is a long poll for the next change of what the receiver reads from the store; it
	// is answered when there is one, or after a time-out.
	PollUpdate
	// GetWait requests the estimated wait of items at the receiver.
	GetWait
	// PlacePrompt requests the model engine for a prompt; ReportPlaced reports the progress of
	// requests that the receiver placed.
	PlacePrompt
	ReportPlaced
	// KeepAlive is sent to the caller of a long request while that is processed: a caller that gets
	// none knows that the receiver is gone.
	KeepAlive
	// EntryMissing reports that the receiver's instance entry is missing from the store.
	EntryMissing
	// PushFacts carries facts that the sender has learned.
	PushFacts
	// GetPermit requests a plain endpoint with a declared rate that may be sent a request.
	GetPermit
	// OpenTunnel requests a tunnel to an endpoint; its stream carries the endpoint's connection.
	OpenTunnel
	// CheckEndpoint asks whether the receiver reaches an endpoint.
	CheckEndpoint
	// TakeSlot requests a slot of a brittle plain endpoint for a request.
	TakeSlot
	// NoteRest tells a relay that an endpoint has asked it for rest, in an answer to the sender.
	NoteRest
	// NoteBindings carries the builds at which streams began; FindBinding asks for that of one stream.
	NoteBindings
	FindBinding
	// BeginTrial asks the coordinator of a pool to admit a quarantined request for a trial.
	BeginTrial
	// JoinQueue is a long request for an endpoint of a pool, which is answered when one is granted or when
	// none will be in time.
	JoinQueue
)

// isLong reports whether messages of a kind are long requests.
func (knd Kind) isLong() bool { return knd == OrderItems || knd == PollUpdate || knd == JoinQueue }

// keepAlive returns the interval of the keep-alives of a long request, and how long its caller waits for the
// next one.
func (knd Kind) keepAlive() (interval, timeout time.Duration) {
	if knd == JoinQueue {
		return queueKeepAliveInterval, queueKeepAliveTimeout
	}
	return keepAliveInterval, keepAliveTimeout
}

// Message is a request or a response.
type Message struct {
	Kind Kind              `cbor:"1,keyasint"`
	From ident.Incarnation `cbor:"2,keyasint"`
	// To is the incarnation that the sender expects at the address; From in the response is the
	// actual one.
	To      ident.Incarnation `cbor:"3,keyasint,omitempty"`
	Target  ident.Incarnation `cbor:"4,keyasint,omitempty"`
	Updates []member.Update   `cbor:"5,keyasint,omitempty"`
	// Leaving lists endpoints that were recently reported as leaving, as "pool/id".
	Leaving []string `cbor:"6,keyasint,omitempty"`
	// Demand is the sender's request rate per second by workspace.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	Body   []byte             `cbor:"8,keyasint,omitempty"`
	// Known is set if the sender has documents; Applied is their offset, Version their version, zero from
	// senders that order documents by offset, and Age the time since they were known to be the newest.
	Known   bool        `cbor:"9,keyasint,omitempty"`
	Applied int64       `cbor:"10,keyasint,omitempty"`
	Age     clock.Milli `cbor:"11,keyasint,omitempty"`
	// StoreUptime is how long the store has answered the sender, or instances that it has heard of, without
	// a gap, zero if it may be down. StoreReadAge is how long ago the last of these answered reads was sent.
	StoreUptime  clock.Milli `cbor:"12,keyasint,omitempty"`
	StoreReadAge clock.Milli `cbor:"17,keyasint,omitempty"`
	// Facts are facts that the receiver may lack, and Digest is the digest of all facts of the
	// sender.
	Facts  []gossip.Fact `cbor:"13,keyasint,omitempty"`
	Digest uint64        `cbor:"14,keyasint,omitempty"`
	// Version orders documents across the store's eras.
	Version int64 `cbor:"15,keyasint,omitempty"`
	// Evacuations identifies the sender's set of evacuated data centres; nil while it has read none, and
	// from senders of earlier builds.
	Evacuations *evac.Mark `cbor:"16,keyasint,omitempty"`
}

// Link is an instance's transport to all other instances. It is opened by [Listen].
type Link struct {
	trn    *quic.Transport
	lsn    *quic.Listener
	client *tls.Config
	handle func(ctx context.Context, msg Message) Message
	// OnRefused is called for connections that failed authentication; it may be nil.
	OnRefused func(err error)
	// HandleLong handles long requests, those of the kinds OrderItems, PollUpdate and JoinQueue, in place of
	// handle. While it runs the caller is sent KeepAlive at keepAliveInterval, or queueKeepAliveInterval. It
	// may be nil.
	HandleLong func(ctx context.Context, msg Message) Message
	// HandleTunnel answers OpenTunnel by [Tunnel.Answer], and then carries the bytes. It is called on
	// a goroutine of its own; it may be nil.
	HandleTunnel func(msg Message, tnl *Tunnel)
	// Partitioned reports whether this instance is partitioned from an address, for tests; nil for
	// none. It applies to outgoing and to incoming requests.
	Partitioned func(addr string) bool

	mtx   sync.Mutex
	conns map[string]*conn
	// dials has a channel for each address that is being dialled, closed when the dial ends.
	dials map[string]chan struct{}
	// accepted has the connections that peers opened.
	accepted map[*quic.Conn]struct{}
	tunnels  tunnelConns
}

// TLSConfigs returns the TLS configurations of an instance from its files. They are read at each
// handshake, so that replaced files take effect without a restart.
func TLSConfigs(cert, key, ca string) (server, client *tls.Config, err error) {
	load := func() (*tls.Certificate, *x509.CertPool, error) {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		pem, err := os.ReadFile(ca)
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, nil, Error.New("%s: no PEM certificate found", ca)
		}
		return &pair, pool, nil
	}
	if _, _, err := load(); err != nil {
		return nil, nil, err
	}
	server, client = TLSConfigsFrom(load)
	return server, client, nil
}

// TLSConfigsFrom returns the TLS configurations from a function that is called at each handshake.
func TLSConfigsFrom(load func() (*tls.Certificate, *x509.CertPool, error)) (server, client *tls.Config) {
	server = &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}}
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, pool, err := load()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{*pair},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: serverName,
		// VerifyConnection verifies the chain against the current authority.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := load()
			return pair, err
		},
		VerifyConnection: func(st tls.ConnectionState) error {
			_, pool, err := load()
			if err != nil {
				return err
			}
			opts := x509.VerifyOptions{Roots: pool, DNSName: serverName, Intermediates: x509.NewCertPool()}
			for _, inter := range st.PeerCertificates[1:] {
				opts.Intermediates.AddCert(inter)
			}
			_, err = st.PeerCertificates[0].Verify(opts)
			return err
		},
	}
	return server, client
}

// Listen opens the link on a UDP address. handle answers each message; it must be safe for
// concurrent use.
func Listen(addr string, server, client *tls.Config, handle func(context.Context, Message) Message) (*Link, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sock, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	reset := resetKey(sock.LocalAddr().String())
	lnk := &Link{
		trn: &quic.Transport{Conn: sock, StatelessResetKey: &reset}, client: client, handle: handle,
		conns: map[string]*conn{}, dials: map[string]chan struct{}{}, accepted: map[*quic.Conn]struct{}{},
	}
	lnk.lsn, err = lnk.trn.Listen(server, quicConfig())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return lnk, nil
}

// resetKey returns the stateless reset key (RFC 9000, section 10.3) by which a process ends the
// connections of an earlier process at its address. Without it peers send to those connections
// until their time-outs, and requests wait. The key must be the same for both processes, which
// share no state, so it is derived from the address. Whoever can read and forge packets on the link
// could end connections with it, but could do so by dropping packets too.
func resetKey(addr string) quic.StatelessResetKey {
	return quic.StatelessResetKey(sha256.Sum256([]byte(protocol + addr)))
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		HandshakeIdleTimeout: 2 * time.Second,
		MaxIncomingStreams:   maxStreams,

		EnableStreamResetPartialDelivery: true,
	}
}

// Addr returns the address that the link listens on.
func (lnk *Link) Addr() string { return lnk.trn.Conn.LocalAddr().String() }

// Serve answers peers until the context ends, then closes the link.
func (lnk *Link) Serve(ctx context.Context) {
	for {
		qcn, err := lnk.lsn.Accept(ctx)
		if err != nil {
			lnk.closeConns()
			_ = lnk.lsn.Close()
			_ = lnk.trn.Close()
			_ = lnk.trn.Conn.Close()
			return
		}
		go lnk.accept(ctx, qcn)
	}
}

// closeConns closes all connections, so that peers need not detect the end of this instance.
func (lnk *Link) closeConns() {
	lnk.tunnels.closeAll()
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	for qcn := range lnk.accepted {
		_ = qcn.CloseWithError(0, "stopped")
	}
	for _, cur := range lnk.conns {
		_ = cur.qcn.CloseWithError(0, "stopped")
	}
}

func (lnk *Link) accept(ctx context.Context, qcn *quic.Conn) {
	lnk.mtx.Lock()
	lnk.accepted[qcn] = struct{}{}
	lnk.mtx.Unlock()
	defer func() {
		lnk.mtx.Lock()
		delete(lnk.accepted, qcn)
		lnk.mtx.Unlock()
	}()
	for {
		str, err := qcn.AcceptStream(ctx)
		if err != nil {
			lnk.reportRefused(err)
			return
		}
		go lnk.answer(ctx, qcn, str)
	}
}

// reportRefused passes errors of failed authentication to OnRefused, but not those of closed or
// idle connections.
func (lnk *Link) reportRefused(err error) {
	var trn *quic.TransportError
	if lnk.OnRefused != nil && errors.As(err, &trn) && trn.ErrorCode.IsCryptoError() {
		lnk.OnRefused(err)
	}
}

func (lnk *Link) answer(ctx context.Context, qcn *quic.Conn, str *quic.Stream) {
	_ = str.SetDeadline(time.Now().Add(answerTimeout))
	msg, err := read(str)
	if err != nil || lnk.Partitioned != nil && lnk.Partitioned(msg.From.Addr()) {
		str.CancelRead(0)
		str.CancelWrite(0)
		return
	}
	if lnk.HandleTunnel != nil && msg.Kind == OpenTunnel {
		lnk.acceptTunnel(qcn, str, msg)
		return
	}
	if lnk.HandleLong != nil && msg.Kind.isLong() {
		lnk.answerLong(str, msg)
		return
	}
	if write(str, lnk.handle(ctx, msg)) == nil {
		_ = str.Close()
	}
}

// Call sends a request to the instance at addr and returns the response.
func (lnk *Link) Call(ctx context.Context, addr string, msg Message) (Message, error) {
	if lnk.Partitioned != nil && lnk.Partitioned(addr) {
		return Message{}, Error.New("%s is partitioned off", addr)
	}
	qcn, err := lnk.conn(ctx, addr)
	if err != nil {
		return Message{}, err
	}
	str, err := qcn.OpenStreamSync(ctx)
	if err != nil {
		lnk.requestFailed(err, addr, qcn)
		return Message{}, Error.Wrap(err)
	}
	if until, ok := ctx.Deadline(); ok {
		_ = str.SetDeadline(until)
	}
	if err := write(str, msg); err != nil {
		str.CancelWrite(0)
		lnk.requestFailed(err, addr, qcn)
		return Message{}, err
	}
	_ = str.Close()
	ans, err := read(str)
	if err != nil {
		str.CancelRead(0)
		lnk.requestFailed(err, addr, qcn)
		return ans, err
	}
	lnk.noteRead(addr, qcn)
	return ans, nil
}

func write(wrt io.Writer, msg Message) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = wrt.Write(append(frame, body...))
	return Error.Wrap(err)
}

func read(rdr io.Reader) (Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(rdr, head[:]); err != nil {
		return Message{}, Error.Wrap(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes {
		return Message{}, Error.New("message of %d bytes exceeds the limit of %d bytes", size, maxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(rdr, body); err != nil {
		return Message{}, Error.Wrap(err)
	}
	var msg Message
	return msg, Error.Wrap(cbor.Unmarshal(body, &msg))
}
