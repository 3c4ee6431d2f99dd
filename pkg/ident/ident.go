// Package ident defines the identifiers of instances, attempts, records and endpoint
// processes.
//
// An address alone does not identify an instance permanently: replacement instances reuse
// it. An [Incarnation] is an address together with a number drawn at random when the
// process starts, so that a restarted process is never confused with the one whose claims
// and leases are still in the log. A [Process] is the equivalent for an endpoint, which
// reports its start time itself.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// nonceBytes is long enough to make collisions negligible: at ten thousand ids a second for
// a century the probability of one collision in 128 bits is below 1e-10.
const nonceBytes = 16

// NewID returns a random id of 32 hexadecimal digits.
func NewID() string {
	var raw [nonceBytes]byte
	// crypto/rand.Read never fails since Go 1.24: it terminates the process instead.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Incarnation identifies one run of an instance's process: "address#boot".
type Incarnation string

// NewIncarnation returns a new incarnation of the process that listens on addr.
func NewIncarnation(addr string) Incarnation {
	return Incarnation(addr + "#" + NewID()[:16])
}

// Addr returns the address.
func (inc Incarnation) Addr() string {
	addr, _, _ := strings.Cut(string(inc), "#")
	return addr
}

// Boot returns the boot number, which is drawn at each start.
func (inc Incarnation) Boot() string {
	_, boot, _ := strings.Cut(string(inc), "#")
	return boot
}
