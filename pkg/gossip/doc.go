// Package gossip replicates short-lived facts to all instances by gossip.
//
// A [Table] is a set of registers, each identified by its kind and key. An instance that changes
// a fact increments its version. The higher version wins, and of two values of the same version
// the one that sorts last, so that tables converge whatever the order in which they receive the
// facts. Versions don't depend on clocks, since the clocks of instances differ.
//
// Facts are sent with their ages and dropped when they exceed the retention of their kind, so
// that a fact expires even if its source crashes or is partitioned before retracting it.
//
// # Dissemination
//
// The package does no I/O. Its caller forwards the facts that [Table.Learn] returns at once
// (rumor mongering). It also compares [Table.Digest] with that of its peers from time to time and
// exchanges facts if they differ (anti-entropy; A. Demers et al., "Epidemic algorithms for
// replicated database maintenance", PODC 1987).
package gossip
