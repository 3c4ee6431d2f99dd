// Package peer is the link between instances: one question and one answer at a
// time, over QUIC with mutual TLS, in CBOR.
//
// An instance listens and dials on one UDP socket. A connection to a peer is
// kept while it is used, because a handshake costs more bytes than many
// questions; at most maxConns are kept, the least lately used goes first. Each
// question has a stream of its own, so that a large answer holds up no probe.
//
// The package knows nothing of what the messages mean; it refuses who has no
// certificate of the same authority, and messages that are too long.
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
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/rumor"
)

// Error is the class of errors of the link.
var Error = errs.Class("peer")

const (
	protocol = "amv/1"
	// serverName is the name in every instance's certificate. Instances are
	// known by address and incarnation, which change with each start; the
	// certificate proves that a process belongs to the system.
	serverName = "amv-peer"
	maxConns   = 64
	maxMessage = 32 << 20
	idleFor    = 30 * time.Second
	answerIn   = 5 * time.Second
	// workingEvery is how often a slow answer gives a sign of work, and
	// silentAfter how long its asker waits for one: three signs may be late or
	// lost before somebody else is asked.
	workingEvery = 200 * time.Millisecond
	silentAfter  = 700 * time.Millisecond
)

// Kind tells what a message asks for.
type Kind uint8

// The kinds of message.
const (
	// Probe asks for a sign of life.
	Probe Kind = iota + 1
	// Indirect asks the receiver to probe Target.
	Indirect
	// StateWanted asks for the documents' state.
	StateWanted
	// AnswerWanted asks for the recorded answer of a key.
	AnswerWanted
	// OK answers; Nack answers that the question can't be answered.
	OK
	Nack
	// PiecesWanted asks for pieces of a stage; PiecesFreed gives results back.
	PiecesWanted
	PiecesFreed
	// NewsWanted asks for the next change of what the receiver reads from the
	// store; it is answered when there is one, or after a while.
	NewsWanted
	// WaitWanted asks how long pieces would wait at the receiver.
	WaitWanted
	// PlaceWanted asks which model engine a prompt should go to; PlaceTold tells how
	// requests fared that the receiver placed.
	PlaceWanted
	PlaceTold
	// Working is sent while an answer is being made, so that a receiver which
	// hears nothing knows that the sender is gone.
	Working
	// Unlisted tells that the receiver's line is missing from the store.
	Unlisted
	// FactsTold tells facts that the sender has learned.
	FactsTold
	// PermitWanted asks for a plain endpoint that names a rate and may be sent a request.
	PermitWanted
)

// Message is what travels, in both directions.
type Message struct {
	Kind Kind              `cbor:"1,keyasint"`
	From ident.Incarnation `cbor:"2,keyasint"`
	// To is who the sender takes the receiver for; an answer's From tells who
	// it really is.
	To     ident.Incarnation `cbor:"3,keyasint,omitempty"`
	Target ident.Incarnation `cbor:"4,keyasint,omitempty"`
	News   []member.News     `cbor:"5,keyasint,omitempty"`
	// Left lists endpoints that were lately heard to be leaving, "pool/id".
	Left []string `cbor:"6,keyasint,omitempty"`
	// Demand tells the sender's requests a second by workspace.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	Body   []byte             `cbor:"8,keyasint,omitempty"`
	// Applied is the offset of the sender's documents, and Age how long ago they
	// were known to be the newest; Known tells that it has any.
	Known   bool        `cbor:"9,keyasint,omitempty"`
	Applied int64       `cbor:"10,keyasint,omitempty"`
	Age     clock.Milli `cbor:"11,keyasint,omitempty"`
	// Up is for how long the store has answered the sender without a failure.
	Up clock.Milli `cbor:"12,keyasint,omitempty"`
	// Facts are some that the receiver may not know, and Digest names all that the
	// sender knows.
	Facts  []rumor.Fact `cbor:"13,keyasint,omitempty"`
	Digest uint64       `cbor:"14,keyasint,omitempty"`
}

// Link is one instance's end of the links to all others.
type Link struct {
	trn    *quic.Transport
	lsn    *quic.Listener
	client *tls.Config
	handle func(ctx context.Context, msg Message) Message
	// Refused is told of connections that were not let in; it may be nil.
	Refused func(err error)
	// Slow answers questions that take a while; those of its kinds don't come to
	// handle. While it works the asker is sent Working now and then. It may be
	// nil.
	Slow func(ctx context.Context, msg Message) Message
	// Cut tells which addresses can't be reached, for tests of cuts; nil for
	// none. Its own end asks it too when it is asked something.
	Cut func(addr string) bool

	mtx   sync.Mutex
	conns map[string]*conn
	// dials has a channel for each address that is being dialled, closed at the end.
	dials map[string]chan struct{}
	// taken are the connections that others opened.
	taken map[*quic.Conn]struct{}
}

// Keys gives the TLS settings of an instance from its files. They are read
// anew for each handshake, so that replaced files are used without a restart.
func Keys(cert, key, ca string) (server, client *tls.Config, err error) {
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
			return nil, nil, Error.New("%s: no certificate found", ca)
		}
		return &pair, pool, nil
	}
	if _, _, err := load(); err != nil {
		return nil, nil, err
	}
	server, client = KeysFrom(load)
	return server, client, nil
}

// KeysFrom gives the TLS settings from a function that is asked at each
// handshake.
func KeysFrom(load func() (*tls.Certificate, *x509.CertPool, error)) (server, client *tls.Config) {
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
		// The chain is verified below against the authority as it is now.
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

// Listen opens the link on a UDP address. handle answers each message; it may
// be called by several goroutines.
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
		conns: map[string]*conn{}, dials: map[string]chan struct{}{}, taken: map[*quic.Conn]struct{}{},
	}
	lnk.lsn, err = lnk.trn.Listen(server, settings())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return lnk, nil
}

// resetKey gives the key by which a process tells the peers of an earlier process at
// its address that their connections have ended (RFC 9000, section 10.3). Those send
// into the void otherwise until they have heard nothing for a while, and requests
// wait with them. It must be the same for both processes, of which one knows nothing
// of the other; so it follows from the address. Whoever can read and forge packets
// on the link could end connections by it, and could do so by dropping packets too.
func resetKey(addr string) quic.StatelessResetKey {
	return quic.StatelessResetKey(sha256.Sum256([]byte(protocol + addr)))
}

func settings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleFor,
		HandshakeIdleTimeout: 2 * time.Second,
		MaxIncomingStreams:   256,
	}
}

// Addr gives the address that the link listens on.
func (lnk *Link) Addr() string { return lnk.trn.Conn.LocalAddr().String() }

// Serve answers peers until the context ends, then closes the link.
func (lnk *Link) Serve(ctx context.Context) {
	for {
		qcn, err := lnk.lsn.Accept(ctx)
		if err != nil {
			lnk.farewell()
			_ = lnk.lsn.Close()
			_ = lnk.trn.Close()
			_ = lnk.trn.Conn.Close()
			return
		}
		go lnk.accept(ctx, qcn)
	}
}

// farewell closes all connections, so that their other ends needn't find out that
// we are gone.
func (lnk *Link) farewell() {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	for qcn := range lnk.taken {
		_ = qcn.CloseWithError(0, "stopped")
	}
	for _, cur := range lnk.conns {
		_ = cur.qcn.CloseWithError(0, "stopped")
	}
}

func (lnk *Link) accept(ctx context.Context, qcn *quic.Conn) {
	lnk.mtx.Lock()
	lnk.taken[qcn] = struct{}{}
	lnk.mtx.Unlock()
	defer func() {
		lnk.mtx.Lock()
		delete(lnk.taken, qcn)
		lnk.mtx.Unlock()
	}()
	for {
		str, err := qcn.AcceptStream(ctx)
		if err != nil {
			lnk.refused(err)
			return
		}
		go lnk.answer(ctx, str)
	}
}

// refused tells of errors that mean a peer was not let in; a closed or idle
// connection is none.
func (lnk *Link) refused(err error) {
	var trn *quic.TransportError
	if lnk.Refused != nil && errors.As(err, &trn) && trn.ErrorCode.IsCryptoError() {
		lnk.Refused(err)
	}
}

func (lnk *Link) answer(ctx context.Context, str *quic.Stream) {
	_ = str.SetDeadline(time.Now().Add(answerIn))
	msg, err := read(str)
	if err != nil || lnk.Cut != nil && lnk.Cut(msg.From.Addr()) {
		str.CancelRead(0)
		str.CancelWrite(0)
		return
	}
	if lnk.Slow != nil && (msg.Kind == PiecesWanted || msg.Kind == NewsWanted) {
		lnk.answerSlowly(str, msg)
		return
	}
	if write(str, lnk.handle(ctx, msg)) == nil {
		_ = str.Close()
	}
}

// Ask sends a message to the instance at addr and gives its answer.
func (lnk *Link) Ask(ctx context.Context, addr string, msg Message) (Message, error) {
	if lnk.Cut != nil && lnk.Cut(addr) {
		return Message{}, Error.New("%s is cut off", addr)
	}
	qcn, err := lnk.conn(ctx, addr)
	if err != nil {
		return Message{}, err
	}
	str, err := qcn.OpenStreamSync(ctx)
	if err != nil {
		lnk.failed(err, addr, qcn)
		return Message{}, Error.Wrap(err)
	}
	if until, ok := ctx.Deadline(); ok {
		_ = str.SetDeadline(until)
	}
	if err := write(str, msg); err != nil {
		str.CancelWrite(0)
		lnk.failed(err, addr, qcn)
		return Message{}, err
	}
	_ = str.Close()
	ans, err := read(str)
	if err != nil {
		str.CancelRead(0)
		lnk.failed(err, addr, qcn)
		return ans, err
	}
	lnk.heard(addr, qcn)
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
	if size > maxMessage {
		return Message{}, Error.New("a message of %d bytes is too long", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(rdr, body); err != nil {
		return Message{}, Error.Wrap(err)
	}
	var msg Message
	return msg, Error.Wrap(cbor.Unmarshal(body, &msg))
}
