// Package plan holds what callers may ask for at one instant: routes, pools,
// workspaces and limits, compiled from one version of the operators' documents.
//
// # Concepts
//
// A [Draft] is what a dialect decodes. [Compile] checks it and gives a [Plan],
// which is never changed afterwards: a request takes the plan once and sees one
// version from its match to its answer, however many versions come meanwhile.
// Faults are collected, each with its place; a part that can't be served (a route
// to a pool that is not named, say) is left out and the rest holds, so that one
// bad line doesn't take every other route out of force.
//
// A route's stages form a graph; package graph tells when they begin.
//
// The package decides nothing about endpoints and knows no wire format.
package plan
