// Package place reads TOML so that a person sees every fault of a file at
// once, each with its line and path.
//
// The decoder of the TOML library stops at the first value of a wrong type
// and reports unknown keys only when all else is right. An operator who mends
// a file fault by fault, each time with a new run, makes the next mistake on
// the way. So the work is done in three passes:
//
//  1. The library parses the text into plain maps. A text that is not TOML
//     ends here, with the place that the library gives.
//  2. The keys' lines are read off the library's syntax tree, and the maps are
//     compared with the Go type that they are meant for: unknown keys (with the
//     nearest known one) and wrong types become faults, all of them collected.
//  3. If there was no fault, the library decodes into the Go value.
//
// What the values mean is checked by the packages that own the types; they add
// to the same list through [Faults.Add].
package place
