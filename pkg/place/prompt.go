package place

import "strconv"

// Part is one part of a prompt.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt is what a request asks a model engine to read and make.
type Prompt struct {
	// Parts are in order; the last is the request's own.
	Parts []Part `cbor:"1,keyasint,omitempty"`
	// In and Out are the tokens to read, and to make at the most.
	In  int `cbor:"2,keyasint,omitempty"`
	Out int `cbor:"3,keyasint,omitempty"`
}

// Key names the shared parts; empty if nothing is shared.
func (prm Prompt) Key() string {
	key := ""
	for _, prt := range prm.shared() {
		key += prt.ID + ":" + strconv.Itoa(prt.Tokens) + ","
	}
	return key
}

func (prm Prompt) shared() []Part { return prm.Parts[:max(len(prm.Parts)-1, 0)] }

// Shared gives the tokens of the shared parts.
func (prm Prompt) Shared() int {
	sum := 0
	for _, prt := range prm.shared() {
		sum += prt.Tokens
	}
	return sum
}

// madeWeight is how many tokens that are read take an engine as long as one that it makes.
const madeWeight = 10

// size is the work on a request as a whole, in tokens read.
func (prm Prompt) size() float64 { return float64(prm.In + madeWeight*prm.Out) }
