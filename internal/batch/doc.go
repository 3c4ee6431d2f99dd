// Package batch gathers pieces of stages: it keeps a pool's book (package gather),
// makes the calls that the book asks for, and answers whoever wants the pieces.
//
// An [Order] is the pieces of one stage of one request. It comes from a request at
// this instance or, over the link, from another one, and is answered whole: every
// piece with its handle, or why one could not be made. What an order leaves behind
// when its asker goes away is cleared up here: pieces that wait are withdrawn, and
// results that come later are given back to their makers.
//
// Pieces that failed are made again within the pool's retry budget, which this
// instance keeps for all while it gathers the pool.
package batch
