// Package plan holds the configuration that requests are served by: routes, pools,
// workspaces and limits, compiled from one version of the operators' documents.
//
// # Concepts
//
// A [Draft] is the document as a dialect decoded it. [Compile] validates it and
// returns a [Plan], which is immutable: a request loads the plan once and uses the
// same version from the match to the answer, whatever versions follow. All errors are
// returned, each with its position. An invalid part (for example a route to an unknown
// pool) is left out and the rest is used, so that one mistake doesn't disable all
// other routes.
//
// The stages of a route form a graph; package graph schedules them.
//
// The package is independent of endpoints and of wire formats.
package plan
