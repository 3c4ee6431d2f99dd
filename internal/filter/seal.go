package filter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"

	"amaranthvalve/internal/stage"
)

// token is what a caller needs to take a cut stream up at any instance. No
// instance keeps it: whoever is asked may be new.
type token struct {
	RequestID string      `json:"request_id"`
	Digest    string      `json:"digest"`
	Place     stage.Place `json:"place"`
}

// sealer seals tokens, so that a caller can neither read a stream of another
// workspace, whose digest differs, nor send an instance to an address of its
// own choice.
type sealer struct {
	key []byte
}

var errSeal = errors.New("the seal does not fit")

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
		return token{}, errSeal
	}
	if !hmac.Equal(raw[:sha256.Size], slr.mac(raw[sha256.Size:])) {
		return token{}, errSeal
	}
	var tkn token
	return tkn, json.Unmarshal(raw[sha256.Size:], &tkn)
}

func (slr sealer) mac(text []byte) []byte {
	sum := hmac.New(sha256.New, slr.key)
	_, _ = sum.Write(text)
	return sum.Sum(nil)
}
