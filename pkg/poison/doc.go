// Package poison tells requests apart by what stays the same when a caller sends them again.
//
// A request may end each endpoint that begins to run it (a poison message, or query of death).
// Its caller sends it again under a new name, to any instance, so that nothing but its target,
// its caller and its body shows that it is the same request.
package poison
