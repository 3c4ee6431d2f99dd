// Package bounds limits what is read of an answer that may have no end.
//
// A reader that reaches its bound returns an [Error], which names what was exceeded. It differs from
// the end of the answer, so that a part is never taken for the whole.
package bounds
