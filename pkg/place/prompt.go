package place

import "strconv"

// Part is a part of a prompt.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt describes what a model engine has to read and generate for a request.
type Prompt struct {
	// Parts are in order; the last one is the request's own, the others may be shared.
	Parts []Part `cbor:"1,keyasint,omitempty"`
	// InTokens is the number of tokens to read, MaxOutTokens the limit of tokens to generate.
	InTokens     int `cbor:"2,keyasint,omitempty"`
	MaxOutTokens int `cbor:"3,keyasint,omitempty"`
}

// Key identifies the shared parts; it is empty if there are none.
func (prm Prompt) Key() string {
	key := ""
	for _, prt := range prm.shared() {
		key += prt.ID + ":" + strconv.Itoa(prt.Tokens) + ","
	}
	return key
}

func (prm Prompt) shared() []Part { return prm.Parts[:max(len(prm.Parts)-1, 0)] }

// Shared returns the number of tokens in the shared parts.
func (prm Prompt) Shared() int {
	sum := 0
	for _, prt := range prm.shared() {
		sum += prt.Tokens
	}
	return sum
}

// outTokenWeight is the number of tokens that an engine reads in the time in which it generates
// one.
const outTokenWeight = 10

// size is the work of a request in tokens read.
func (prm Prompt) size() float64 { return float64(prm.InTokens + outTokenWeight*prm.MaxOutTokens) }
