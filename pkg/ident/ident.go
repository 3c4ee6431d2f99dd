// Package ident holds the names by which instances, attempts and records are
// told apart.
//
// An address alone names nothing for long: replaced instances reuse it. An
// [Incarnation] is an address together with a number drawn at random when the
// process starts, so that a restarted process is never taken for the one
// whose claims and leases are still in the log. A [Process] is the same for an
// endpoint, which says itself when it started.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// nonceBytes is long enough that two draws never meet in practice: at ten
// thousand ids a second for a century the chance of one collision in 128 bits
// is below 1e-10.
const nonceBytes = 16

// NewID draws a random id of 32 hexadecimal digits.
func NewID() string {
	var raw [nonceBytes]byte
	// crypto/rand.Read never fails since Go 1.24: it ends the process instead.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Incarnation names one run of one process: "address#boot".
type Incarnation string

// NewIncarnation names the present run of the process that listens on addr.
func NewIncarnation(addr string) Incarnation {
	return Incarnation(addr + "#" + NewID()[:16])
}

// Addr gives the address part.
func (inc Incarnation) Addr() string {
	addr, _, _ := strings.Cut(string(inc), "#")
	return addr
}

// Boot gives the part that is drawn anew at each start.
func (inc Incarnation) Boot() string {
	_, boot, _ := strings.Cut(string(inc), "#")
	return boot
}
