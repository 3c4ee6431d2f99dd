// Package rumor keeps short-lived facts that one instance learns and all should know.
//
// A [Table] is a set of registers, each found by its kind and key. Whoever changes a fact
// raises its version; of two versions the higher one stands, and of two values of the same
// version the one that sorts last, so that tables which have been told the same facts agree in
// whatever order they came. No clock takes part in that: the clocks of instances differ.
//
// Facts travel with their ages and are dropped once they are older than their kind is kept, so
// that what a source never takes back, because it ended or is cut off, ends by itself.
//
// # Spreading
//
// The package sends nothing. Its caller passes on what [Table.Learn] calls fresh, at once
// (rumor mongering), and compares [Table.Digest] with its peers' now and then and exchanges
// facts where they differ (anti-entropy; A. Demers et al., "Epidemic algorithms for
// replicated database maintenance", PODC 1987).
package rumor
