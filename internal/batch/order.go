package batch

import (
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Order requests the items of one stage of one request. Spans count from when it is sent, because
// the clocks of instances differ.
type Order struct {
	Pool    string   `cbor:"1,keyasint"`
	Request string   `cbor:"2,keyasint"`
	Stage   int      `cbor:"3,keyasint"`
	Count   int      `cbor:"4,keyasint"`
	Key     string   `cbor:"5,keyasint,omitempty"`
	Inputs  []string `cbor:"6,keyasint,omitempty"`
	// Bytes is the approximate size of one result; Zone is where the results will be used.
	Bytes int64  `cbor:"7,keyasint,omitempty"`
	Zone  string `cbor:"8,keyasint,omitempty"`
	Rank  int    `cbor:"9,keyasint,omitempty"`
	// Due is the span within which the items should be done, Until the span after which their
	// results are useless.
	Due   clock.Milli `cbor:"10,keyasint"`
	Until clock.Milli `cbor:"11,keyasint"`
	// NearUntil is how long the items wait for an endpoint in their data centre.
	NearUntil clock.Milli `cbor:"12,keyasint,omitempty"`
	// InputBytes is the total size of the inputs of one item.
	InputBytes int64 `cbor:"13,keyasint,omitempty"`
	// Last lists the inputs that no other order uses: they are released as soon as all items have
	// fetched them.
	Last []Lot `cbor:"14,keyasint,omitempty"`
	// Again is set when the results existed before and were lost.
	Again bool `cbor:"15,keyasint,omitempty"`
	// Alone keeps the items out of batches shared with other requests, because endpoints have
	// crashed under this request.
	Alone bool `cbor:"16,keyasint,omitempty"`
}

// Lot is a set of results of one pool, with the address of the instance that coordinated their
// computation.
type Lot struct {
	Home  string `cbor:"1,keyasint"`
	Freed Freed  `cbor:"2,keyasint"`
}

// Filled is the outcome of an order.
type Filled struct {
	// Results has one handle per item, unless Flaw gives the reason for a failure.
	Results []Handle  `cbor:"1,keyasint,omitempty"`
	Flaw    talk.Flaw `cbor:"2,keyasint,omitempty"`
	// Wait is how long an item added now would wait at this instance.
	Wait clock.Milli `cbor:"3,keyasint,omitempty"`
	// Fetched is set when the inputs in the order's Last have been released.
	Fetched bool `cbor:"4,keyasint,omitempty"`
	// Ended lists the endpoints that crashed while they had items of the order.
	Ended []ident.Process `cbor:"5,keyasint,omitempty"`
}

// Handle is the name and location of a result.
type Handle struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
}

// Freed requests that results of a pool be released.
type Freed struct {
	Pool    string   `cbor:"1,keyasint"`
	Results []Handle `cbor:"2,keyasint"`
}

// order is an order in progress.
type order struct {
	Order
	// job identifies the order in the scheduler.
	job       int64
	results   []Handle
	pending   int
	tries     []int
	fetch     fetchState
	crashes   []ident.Process
	flaw      talk.Flaw
	completed bool
	done      chan struct{}
}

// complete ends an order, with [talk.NoFlaw] if it succeeded.
func (ord *order) complete(flaw talk.Flaw) {
	if !ord.completed {
		ord.completed, ord.flaw = true, flaw
		close(ord.done)
	}
}
