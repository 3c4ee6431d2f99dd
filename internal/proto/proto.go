// Package proto defines the interface between the product and the protocols of callers, endpoints
// and the store.
//
// A [Dialect] is a table of functions that one package fills in; header names, paths and formats are
// known only there. The types here use the product's own terms, so that the code that makes decisions
// doesn't depend on how anything is encoded on the wire.
package proto

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// Error is the class of errors in callers' requests.
var Error = errs.Class("request")

// RequestMeta is the metadata of a caller's request, beside method, target and body.
type RequestMeta struct {
	// ID identifies the request. The caller sets it, unique to the attempt.
	ID string
	// Remaining is how long the caller will wait, zero if unknown.
	Remaining clock.Milli
	// Token authenticates the workspace.
	Token string
	// Prompt describes the prompt for a model engine; nil for plain calls.
	Prompt *place.Prompt
	// SharedParts are the IDs of the parts of the prompt but the last one, each once.
	SharedParts []string
	// Items is the number of items of each stage, and ItemKey the input of the first stages.
	Items   []int
	ItemKey string
	// LastEvent is the ID of the last stream event that the caller has received.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream which this one resumes;
	// empty for none.
	Resumes string
}

// SendMeta is the metadata that the system adds to a request to an endpoint.
type SendMeta struct {
	// Endpoint is the endpoint that must answer; any other process at the address refuses.
	Endpoint  ident.Process
	Workspace string
	// Remaining is how long the endpoint may take.
	Remaining clock.Milli
	// Priority is the rank among the endpoint's requests; below 0 for none.
	Priority int
	// Inputs are the handles of the results that the request takes.
	Inputs []string
	// Fetch is the address of an engine from which this one fetches the parts of the prompt that
	// it hasn't cached itself; empty for none.
	Fetch string
	// LastEvent is the ID of the last stream event that the caller has received; empty for a new
	// stream.
	LastEvent string
}

// ReplyMeta is the metadata of an endpoint's response, beside status and body.
type ReplyMeta struct {
	// ID identifies the request that the endpoint answers.
	ID string
	// Signed is set if the response carries the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint confirms that it didn't run the request.
	NotRun bool
	// Misdirected is set if another endpoint listens at the address.
	Misdirected bool
	// Leaving is set if the endpoint announces that it will close.
	Leaving bool
	// Load is the load that the endpoint reports, if HasLoad.
	Load    int
	HasLoad bool
	// Pace is how long work takes on the endpoint's machine at the moment, in percent of the usual; zero
	// if the endpoint doesn't report it.
	Pace int
}

// Notice is what an answer says of its endpoint, whatever the request. All notices reach the control
// state, from which every choice of an endpoint is served.
type Notice struct {
	// Endpoint is the name of the endpoint that the request was meant for; another process at its
	// address would have said so. It is empty if the request named none, or if another process
	// answered: the notice is nobody's then.
	Endpoint string
	// Unnamed is set if the request named no endpoint. What the answer says concerns whichever listens at
	// the address.
	Unnamed bool
	// Success is set if the endpoint answered with a success.
	Success bool
	// Rate is the rate limit that the endpoint declares, in requests per second from all instances
	// together.
	Rate Declared
	// Brittle is the number of requests that the endpoint can reject within a second for lack of
	// room; beyond it the endpoint falls over.
	Brittle Declared
	// Leaving is set if the endpoint announces that it will end.
	Leaving bool
	// ColdLeft is how much longer the endpoint is cold; zero if it is not, or does not say so.
	ColdLeft clock.Milli
	// Rest is how long the endpoint wants no request from the instance that it has turned away; zero
	// for none. RestText is what it asked for.
	Rest     clock.Milli
	RestText string
}

// Declared is a number that an endpoint declares, if Is.
type Declared struct {
	Value float64
	Is    bool
}

// Endpoint is an endpoint's entry in the store.
type Endpoint struct {
	ID      ident.Process
	Pool    string
	Addr    string
	Zone    string
	Places  int
	Leaving bool
	// Build is the build of the endpoint's software, empty if it is unknown. Builds compare for equality
	// only.
	Build string
	// Withheld is set while the endpoint must be sent nothing because its data centre is evacuated. Each
	// instance decides this by itself, so that it is not sent to others.
	Withheld bool `cbor:"-"`
	// ColdLeft is how much longer the endpoint was cold when it wrote its entry. It is set in lists
	// read from the store only: it counts down from entry to entry, and would make each of them a
	// change of the list.
	ColdLeft clock.Milli `cbor:"-"`
	// EntryOffset is the offset of the entry in the store, set together with ColdLeft.
	EntryOffset int64 `cbor:"-"`
}

// Instance is an instance's entry in the store.
type Instance struct {
	// Name identifies the incarnation, Addr is its address for peers.
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Zone is its data centre, Caller its address for callers, Capacity its CPU capacity, in
	// cores.
	Zone     string  `json:"zone,omitempty"`
	Caller   string  `json:"caller,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
}

// Item is one item of a stage that an endpoint is to process.
type Item struct {
	// Request identifies the caller's request, Stage and Index the item.
	Request string
	Stage   int
	Index   int
	// Remaining is how long the result is of use.
	Remaining clock.Milli
	// Key is the input of an item of a first stage; Inputs are the handles of the results that an
	// item of a later stage takes.
	Key    string
	Inputs []string
}

//go:generate go tool stringer -type=Failure -linecomment -output=failure_string.go

// Failure is the reason why an item failed.
type Failure int

// Reasons why an item failed.
const (
	// NoFailure: the item succeeded.
	NoFailure Failure = iota // none
	// Late: the item's deadline has passed.
	Late // too late
	// InputLost: an input of the item was lost.
	InputLost // an input is gone
	// NoRoom: the endpoint had no storage for the result.
	NoRoom // no room
	// Broken: the endpoint failed.
	Broken // the maker failed
)

// ItemResult is the outcome of an item: the handle of its result, or the reason why there is none.
type ItemResult struct {
	Handle  string
	Failure Failure
}

// Position is a position in the store's log. Offsets compare within an era only.
type Position struct {
	Era    int64
	Offset int64
}

// Before reports whether the position is of the same era as another one, and before it.
func (pos Position) Before(oth Position) bool { return pos.Era == oth.Era && pos.Offset < oth.Offset }

// Document is the operators' document. Its version orders documents. Offset is below 0 if there is none; End
// is the end of the store's log when it was read, the offset to watch from.
type Document struct {
	Position
	End  int64
	Text []byte
	// Evacuated are the data centres that the operators have evacuated, by records beside the document.
	// Faults has an error for each record that can't be used.
	Evacuated []string
	Faults    []error
}

// Listing is the endpoints' entries as the store listed them, and an error for each entry that can't be
// used. Its position is the end of their log at that time, which orders listings.
type Listing struct {
	Position
	Endpoints []Endpoint
	Faults    []error
}

// Dialect implements the protocols of callers, endpoints and the store.
type Dialect struct {
	// Read reads the metadata of a caller's request.
	Read func(req *http.Request) (RequestMeta, error)
	// DropHeaders lists the headers, in canonical form, that are removed from callers' requests before
	// these are forwarded to endpoints.
	DropHeaders []string
	// SetHeaders sets the system's own headers on a request to an endpoint.
	SetHeaders func(hdr http.Header, snd SendMeta)
	// Reply reads the metadata of an endpoint's response. StripHeaders removes the headers that
	// are meant for the system only.
	Reply func(res *http.Response) ReplyMeta
	// Notice reads what an answer to any request says of its endpoint.
	Notice       func(req *http.Request, res *http.Response) Notice
	StripHeaders func(hdr http.Header)
	// EventName returns the ID of a stream event, if it has one.
	EventName func(event []byte) (string, bool)

	// ReadyPath and EntriesPath are the paths of the readiness check and of the entry addresses.
	ReadyPath   string
	EntriesPath string
	// Entries returns the response body with the addresses that a caller may use, and how long it
	// may cache them.
	Entries func(addrs []string, ttl clock.Milli) any

	// RunBatch processes items as one batch. If the endpoint refuses the whole batch, RunBatch
	// returns [ErrFull].
	RunBatch func(ctx context.Context, cli *http.Client, ep Endpoint, items []Item) ([]ItemResult, ReplyMeta, error)
	// Free releases results at their endpoint.
	Free func(ctx context.Context, cli *http.Client, addr string, handles []string) error

	// FreeStorage asks a stage endpoint for an upper bound of its free result storage, in bytes.
	FreeStorage func(ctx context.Context, cli *http.Client, ep Endpoint) (int64, error)

	// CachedParts asks a model engine which parts of prompts it has cached.
	CachedParts func(ctx context.Context, cli *http.Client, ep Endpoint) ([]place.Part, error)

	// WantsRankAdmission reports whether the platform's policies in force ask for admission by rank; nil for
	// never.
	WantsRankAdmission func(policies []string) bool

	// Compile compiles a document into a plan.
	Compile func(text []byte) (*plan.Plan, []error)
	// Store returns the client of the store at an address.
	Store func(addr string, cli *http.Client) Store
}

// ErrFull is returned for a batch that an endpoint had no free slot for.
var ErrFull = errs.New("the endpoint has no free slot")

// ErrWithheld is returned for a call that was not sent because its endpoint is in an evacuated data centre, or has
// left.
var ErrWithheld = errs.New("the endpoint has left, or its data centre is evacuated")

// Store is the client of the store.
type Store struct {
	// Document returns the store's document. Watch waits for records from a position on, for at most the
	// given time, and reports whether there are any, or the era has ended.
	Document func(ctx context.Context) (Document, error)
	Watch    func(ctx context.Context, from Position, wait clock.Milli) (bool, error)
	// Era returns the highest era of the store's answers so far. It rises each time the store has come
	// back from a copy, without what was written since the copy was made. Nil stands for a store that
	// never does.
	Era func() int64
	// Endpoints lists the endpoints' entries.
	// Instances lists the instances' entries, oldest first, together with the record that the
	// instances share, nil for none.
	Endpoints func(ctx context.Context) (Listing, error)
	Instances func(ctx context.Context) (list []Instance, shared []byte, err error)
	// Announce writes the instance's own entry, Withdraw removes entries by name.
	Announce func(ctx context.Context, inst Instance) error
	Withdraw func(ctx context.Context, names ...string) error
	// PutShared replaces the record that the instances share, stored beside their entries; nil
	// removes it.
	PutShared func(ctx context.Context, shared []byte) error
}
