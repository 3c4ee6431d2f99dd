package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// markBytes is too long for a caller to find a second request with the mark of another one.
const markBytes = 16

// Mark names a request by its host, target, caller and body, whichever attempt of its caller's
// it is.
type Mark [markBytes]byte

// MarkOf gives the mark of a request. The caller is its workspace, empty on open routes.
func MarkOf(host, target, caller string, body []byte) Mark {
	sum := sha256.New()
	for _, text := range []string{strings.ToLower(host), target, caller} {
		// With its length before it no part can be taken for the beginning of the next one.
		_, _ = sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
		_, _ = sum.Write([]byte(text))
	}
	_, _ = sum.Write(body)
	return Mark(sum.Sum(nil)[:markBytes])
}

// String gives the mark in hexadecimal digits.
func (mrk Mark) String() string { return hex.EncodeToString(mrk[:]) }
