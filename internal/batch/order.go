package batch

import (
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Order asks for the pieces of one stage of one request. Spans count from when it
// is sent: the clocks of instances differ.
type Order struct {
	Pool    string   `cbor:"1,keyasint"`
	Request string   `cbor:"2,keyasint"`
	Stage   int      `cbor:"3,keyasint"`
	Count   int      `cbor:"4,keyasint"`
	Key     string   `cbor:"5,keyasint,omitempty"`
	Inputs  []string `cbor:"6,keyasint,omitempty"`
	// Bytes is the rough size of one result, Zone where it will be used.
	Bytes int64  `cbor:"7,keyasint,omitempty"`
	Zone  string `cbor:"8,keyasint,omitempty"`
	Rank  int    `cbor:"9,keyasint,omitempty"`
	// Due is the span within which the pieces should be made, Until the one
	// after which they are of no use.
	Due   clock.Milli `cbor:"10,keyasint"`
	Until clock.Milli `cbor:"11,keyasint"`
	// NearUntil is the span for which the pieces wait for an endpoint of their data
	// centre.
	NearUntil clock.Milli `cbor:"12,keyasint,omitempty"`
	// InputBytes is what the inputs of one piece weigh.
	InputBytes int64 `cbor:"13,keyasint,omitempty"`
	// Last are those of the inputs that nobody else takes: they are given back as
	// soon as all pieces have fetched them.
	Last []Lot `cbor:"14,keyasint,omitempty"`
	// Again tells that the pieces were made before, and lost.
	Again bool `cbor:"15,keyasint,omitempty"`
	// Alone tells that the pieces share no call with those of others: endpoints have ended
	// under the request.
	Alone bool `cbor:"16,keyasint,omitempty"`
}

// Lot is results of a pool, and the address of the instance that had them made.
type Lot struct {
	Home  string `cbor:"1,keyasint"`
	Freed Freed  `cbor:"2,keyasint"`
}

// Filled is what became of an order.
type Filled struct {
	// Results are there for each piece, unless Flaw says why not.
	Results []Handle  `cbor:"1,keyasint,omitempty"`
	Flaw    talk.Flaw `cbor:"2,keyasint,omitempty"`
	// Wait is how long a piece that is added now would wait here.
	Wait clock.Milli `cbor:"3,keyasint,omitempty"`
	// Fetched tells that the order's last inputs were given back.
	Fetched bool `cbor:"4,keyasint,omitempty"`
	// Ended are the endpoints that ended while they had pieces of the order.
	Ended []ident.Process `cbor:"5,keyasint,omitempty"`
}

// Handle names a result and where it is.
type Handle struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
}

// Freed gives results of a pool back.
type Freed struct {
	Pool    string   `cbor:"1,keyasint"`
	Results []Handle `cbor:"2,keyasint"`
}

// order is an order that is being filled.
type order struct {
	Order
	// job names the order in the book.
	job     int64
	results []Handle
	missing int
	tries   []int
	fetch   fetch
	ends    []ident.Process
	flaw    talk.Flaw
	ended   bool
	done    chan struct{}
}

// end ends an order, well or not.
func (ord *order) end(flaw talk.Flaw) {
	if !ord.ended {
		ord.ended, ord.flaw = true, flaw
		close(ord.done)
	}
}
