// Package talk is the seam between the product and the ways in which callers,
// endpoints and the store are spoken to.
//
// A [Dialect] is a table of functions that one folder fills in; names, headers,
// paths and formats stay there. Everything here is in the product's own words, so
// that nothing which decides knows how a thing is spelled on the wire.
package talk

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// Error is the class of errors in what callers sent.
var Error = errs.Class("request")

// Ask is what a caller's request says of itself, beside method, target and body.
type Ask struct {
	// ID is the request's name, given by the caller and unique to the attempt.
	ID string
	// Left is how long the caller will wait, zero if it doesn't say.
	Left clock.Milli
	// Token proves the workspace.
	Token string
	// Prompt is what a model engine is to read; nil for plain calls.
	Prompt *place.Prompt
	// Pieces is the number of pieces of each stage, and PieceKey what the first
	// stages make them from.
	Pieces   []int
	PieceKey string
	// After is the last event of a stream that the caller has.
	After string
}

// Send is what the system says to an endpoint beside what the caller sent.
type Send struct {
	// Endpoint is who must answer; anybody else at the address refuses.
	Endpoint  ident.Process
	Workspace string
	// Left is how long the endpoint may take.
	Left clock.Milli
	// Priority is the rank among the endpoint's requests; below 0 for none.
	Priority int
	// Inputs are the results that the request takes.
	Inputs []string
	// Fetch is the address of an engine from which this one fetches what that one holds of
	// the prompt and it doesn't; empty for none.
	Fetch string
	// After is the last event that the caller has; empty for a start.
	After string
}

// Reply is what an endpoint's answer says beside status and body.
type Reply struct {
	// ID is the request that the endpoint answers.
	ID string
	// Signed tells that the answer bears the endpoint's proof.
	Signed bool
	// NotRun is the endpoint's word that it didn't run the request.
	NotRun bool
	// Misdirected tells that another endpoint lives at the address.
	Misdirected bool
	// Leaving tells that the endpoint said it will close.
	Leaving bool
	// Load is the endpoint's own word on its load, if HasLoad.
	Load    int
	HasLoad bool
	// Rate is how many requests a second the endpoint takes from all instances together,
	// if HasRate.
	Rate    float64
	HasRate bool
}

// Endpoint is an endpoint as the store lists it.
type Endpoint struct {
	ID      ident.Process
	Pool    string
	Addr    string
	Zone    string
	Places  int
	Leaving bool
}

// Instance is an instance of the system as the store lists it.
type Instance struct {
	// Name is the incarnation, Addr where its peers reach it.
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Zone is its data centre, Caller where it serves callers, Capacity how
	// strong it is, in cores.
	Zone     string  `json:"zone,omitempty"`
	Caller   string  `json:"caller,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
}

// Item is a piece to be made.
type Item struct {
	// Request names the caller's request, Stage and Piece the piece.
	Request string
	Stage   int
	Piece   int
	// Left is how long it is of use.
	Left clock.Milli
	// Key is what a piece of a first stage is made from; Inputs are the results
	// that any other takes.
	Key    string
	Inputs []string
}

//go:generate go tool stringer -type=Flaw -linecomment -output=flaw_string.go

// Flaw tells why a piece was not made.
type Flaw int

// The flaws.
const (
	// NoFlaw: it was made.
	NoFlaw Flaw = iota // none
	// Late: it was of no use any more.
	Late // too late
	// InputGone: a result that it takes is gone.
	InputGone // an input is gone
	// NoRoom: its maker had no room.
	NoRoom // no room
	// Broken: its maker failed.
	Broken // the maker failed
)

// Made is what became of an item: a handle, or why there is none.
type Made struct {
	Handle string
	Flaw   Flaw
}

// Document is what operators wrote. Offset orders documents, below 0 if there is
// none; End is the end of the store's log when it was read, from where to watch.
type Document struct {
	Offset int64
	End    int64
	Text   []byte
}

// Dialect is one way of speaking to callers, endpoints and the store.
type Dialect struct {
	// Read reads what a caller's request says of itself.
	Read func(req *http.Request) (Ask, error)
	// Drop lists the headers, in canonical form, that callers can't set for
	// endpoints.
	Drop []string
	// Dress sets the system's own headers on a request to an endpoint.
	Dress func(hdr http.Header, snd Send)
	// Reply reads an endpoint's answer. Strip takes the headers out that speak
	// to the system only.
	Reply func(res *http.Response) Reply
	Strip func(hdr http.Header)
	// EventName gives the name of an event of a stream, if it has one.
	EventName func(event []byte) (string, bool)

	// ReadyPath and EntriesPath are where readiness and addresses are asked for.
	ReadyPath   string
	EntriesPath string
	// Entries writes the addresses that a caller may use and for how long.
	Entries func(addrs []string, keep clock.Milli) any

	// Run has pieces made in one call. A call that the endpoint refused whole
	// gives ErrFull.
	Run func(ctx context.Context, cli *http.Client, ep Endpoint, items []Item) ([]Made, Reply, error)
	// Free gives results back to their maker.
	Free func(ctx context.Context, cli *http.Client, addr string, handles []string) error

	// Room asks an endpoint that makes pieces how many bytes of results it has room for, at
	// the most.
	Room func(ctx context.Context, cli *http.Client, ep Endpoint) (int64, error)

	// Held asks a model engine which parts of prompts it holds.
	Held func(ctx context.Context, cli *http.Client, ep Endpoint) ([]place.Part, error)

	// Compile makes a plan of a document's text.
	Compile func(text []byte) (*plan.Plan, []error)
	// Store gives the client of the store at an address.
	Store func(addr string, cli *http.Client) Store
}

// ErrFull is the error of a call that an endpoint had no place for.
var ErrFull = errs.New("the endpoint has no place")

// Store is the client of the store.
type Store struct {
	// Newest gives the document in force. Watch waits up to hold for records
	// from an offset on, and tells whether there are any.
	Newest func(ctx context.Context) (Document, error)
	Watch  func(ctx context.Context, from int64, hold clock.Milli) (bool, error)
	// Endpoints lists the endpoints, Instances the system's own, the oldest line
	// first, with what they keep beside their lines, nil for nothing.
	Endpoints func(ctx context.Context) ([]Endpoint, []error, error)
	Instances func(ctx context.Context) (list []Instance, kept []byte, err error)
	// Announce writes our own line, Withdraw takes lines out by their names.
	Announce func(ctx context.Context, inst Instance) error
	Withdraw func(ctx context.Context, names ...string) error
	// Keep writes what the instances keep beside their lines, in place of what was kept
	// before; nil for nothing.
	Keep func(ctx context.Context, kept []byte) error
}
