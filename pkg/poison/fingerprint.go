package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintBytes is the length of a fingerprint. 128 bits keep a caller from constructing a second
// request with the fingerprint of another one.
const fingerprintBytes = 16

// Fingerprint is the fingerprint of a request: a hash of its host, target, caller and body. All
// attempts of a request have the same one.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. caller is the workspace, empty on open routes.
func FingerprintOf(host, target, caller string, body []byte) Fingerprint {
	sum := sha256.New()
	for _, text := range []string{strings.ToLower(host), target, caller} {
		// The length prefix makes the boundaries of the parts unambiguous.
		_, _ = sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
		_, _ = sum.Write([]byte(text))
	}
	_, _ = sum.Write(body)
	return Fingerprint(sum.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (fpr Fingerprint) String() string { return hex.EncodeToString(fpr[:]) }
