// Package gather schedules batches: it decides which items form a batch and which endpoint gets it.
//
// # Concepts
//
// An endpoint of a stage's pool processes items, from any requests, in batches of bounded size. A
// batch has a fixed cost: eight items in one batch take less than half the time of eight batches. A
// single instance sees too few requests to fill batches, so one instance schedules the items of a
// pool for all instances. A [Scheduler] holds its state: the waiting items, the endpoints with
// their batches, and the results that still occupy storage.
//
// # Order
//
// Items wait here and not at an endpoint, because here they can still be overtaken or withdrawn;
// the batch is composed at the moment a slot becomes free. Items that can still be on time go
// first, by due time; late ones follow. With due time as the only key, an overload makes every
// request a little late: the most overdue item would always go first, although its answer has
// already lost most of its value.
//
// Where a document gives different priorities to the routes of a pool, the step between two
// priorities is larger while the pool is contended, and [Scheduler.WaitFor] estimates the wait of a
// priority by what goes before it.
//
// Batches of a pool start at even intervals: see [Scheduler.StartDelay].
//
// # Locality and result storage
//
// A result stays at the endpoint that produced it until it is released, and its consumer fetches it
// from there. So an item with a large result names the data centre where the result will be used,
// and among equally urgent items those of an endpoint's own data centre fill its batch. A full
// batch takes precedence over a local one. An endpoint without free result storage gets no item
// that it would refuse after the time of a batch.
//
// Storage occupied by results of other schedulers is learned from the endpoint's report
// ([Scheduler.ReportFree]) and from items that it refuses ([Scheduler.MarkFull]). A job is not
// split over batches, except one too large for a batch, and in pools so large that its remaining
// items follow within milliseconds.
//
// Two instances may schedule the same pool for a while, when their membership views differ. That
// costs batch size and some refused batches, but no result becomes wrong, because an item may be
// processed twice. The package starts no goroutines and reads no clock.
package gather
