// Package tomlx decodes TOML and reports all faults of a file at once, each
// with its key path and line.
//
// The decoder of the TOML library stops at the first value of a wrong type and
// reports unknown keys only if there is no other error, so that an operator
// would need a run for each fault and could introduce new ones between the
// runs. This package works in three passes:
//
//  1. The library parses the text into maps. A syntax error ends the decoding
//     with the position that the library reports.
//  2. The lines of the keys are taken from the library's syntax tree, and the
//     maps are checked against the target's Go type. Unknown keys (with the
//     most similar known key) and wrong types are collected as faults.
//  3. If there are no faults, the library decodes into the Go value.
//
// The packages that own the types validate the values and add to the same list
// with [Faults.Add].
package tomlx
