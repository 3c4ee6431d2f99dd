package batch

import (
	"amaranthvalve/internal/proto"
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
	// Due is the span within which the items should be done, Expires the span after which their
	// results are useless.
	Due     clock.Milli `cbor:"10,keyasint"`
	Expires clock.Milli `cbor:"11,keyasint"`
	// LocalUntil is how long the items wait for an endpoint in their data centre.
	LocalUntil clock.Milli `cbor:"12,keyasint,omitempty"`
	// InputBytes is the total size of the inputs of one item.
	InputBytes int64 `cbor:"13,keyasint,omitempty"`
	// LastInputs lists the inputs that no other order uses: they are released as soon as all items
	// have fetched them.
	LastInputs []ResultSet `cbor:"14,keyasint,omitempty"`
	// Recompute is set when the results existed before and were lost.
	Recompute bool `cbor:"15,keyasint,omitempty"`
	// Exclusive keeps the items out of batches shared with other requests, because endpoints have
	// crashed under this request.
	Exclusive bool `cbor:"16,keyasint,omitempty"`
	// Ranked is set if the document gives different priorities to the routes that share the pool.
	Ranked bool `cbor:"17,keyasint,omitempty"`
}

// ResultSet is a set of results of one pool, with the address of the coordinator that had them
// computed.
type ResultSet struct {
	Coordinator string         `cbor:"1,keyasint"`
	Release     ReleaseRequest `cbor:"2,keyasint"`
}

// OrderResult is the outcome of an order.
type OrderResult struct {
	// Results has one handle per item, unless Failure says why there are none.
	Results []Handle      `cbor:"1,keyasint,omitempty"`
	Failure proto.Failure `cbor:"2,keyasint,omitempty"`
	// Wait is how long an item added now would wait at this instance.
	Wait clock.Milli `cbor:"3,keyasint,omitempty"`
	// InputsReleased is set when the order's LastInputs have been released.
	InputsReleased bool `cbor:"4,keyasint,omitempty"`
	// Crashed lists the endpoints that crashed while they had items of the order.
	Crashed []ident.Process `cbor:"5,keyasint,omitempty"`
	// RankWait is how long an item of the order's rank added now would wait at this instance; nil
	// unless the order is ranked.
	RankWait *clock.Milli `cbor:"6,keyasint,omitempty"`
}

// Handle is the name and location of a result.
type Handle struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
}

// ReleaseRequest requests that results of a pool be released.
type ReleaseRequest struct {
	Pool    string   `cbor:"1,keyasint"`
	Results []Handle `cbor:"2,keyasint"`
}

// order is an order in progress.
type order struct {
	Order
	// span is the time that was left until the items were due when the order arrived.
	span clock.Milli
	// job identifies the order in the scheduler.
	job       int64
	results   []Handle
	pending   int
	tries     []int
	fetch     fetchState
	crashes   []ident.Process
	failure   proto.Failure
	completed bool
	done      chan struct{}
}

// complete ends an order, with [proto.NoFailure] if it succeeded.
func (ord *order) complete(failure proto.Failure) {
	if !ord.completed {
		ord.completed, ord.failure = true, failure
		close(ord.done)
	}
}
