// Package batch batches the items of stages: it keeps the batch scheduler of each pool (package
// gather), sends each batch that the scheduler selects to an endpoint, in one call, and returns the
// results.
//
// An [Order] consists of the items of one stage of one request. It comes from a request at this
// instance or, over the link, from another instance, and is answered as a whole: with a handle for
// every item, or with the reason why one failed. When the caller of an order disconnects, its
// waiting items are withdrawn, and results that arrive later are released at their endpoints.
//
// Failed items are retried within the pool's retry budget, which the coordinator of the pool
// enforces for all instances.
package batch
