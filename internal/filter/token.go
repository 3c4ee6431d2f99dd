package filter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"

	"amaranthvalve/internal/stage"
)

// token is the content of a resume token, with which a caller can resume an interrupted stream
// at any instance. It is not stored at an instance, because the stream may be resumed at one
// that started later.
type token struct {
	RequestID string          `json:"request_id"`
	Digest    string          `json:"digest"`
	Stream    stage.StreamRef `json:"place"`
}

// sealer signs resume tokens. A caller can therefore neither read a stream of another
// workspace, whose digest differs, nor make an instance connect to an address that the caller
// chooses.
type sealer struct {
	key []byte
}

var errSignature = errors.New("resume token: malformed or wrong signature")

func (slr sealer) seal(tkn token) string {
	text, err := json.Marshal(tkn)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(slr.mac(text), text...))
}

func (slr sealer) open(text string) (token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < sha256.Size {
		return token{}, errSignature
	}
	if !hmac.Equal(raw[:sha256.Size], slr.mac(raw[sha256.Size:])) {
		return token{}, errSignature
	}
	var tkn token
	return tkn, json.Unmarshal(raw[sha256.Size:], &tkn)
}

func (slr sealer) mac(text []byte) []byte {
	sum := hmac.New(sha256.New, slr.key)
	_, _ = sum.Write(text)
	return sum.Sum(nil)
}
