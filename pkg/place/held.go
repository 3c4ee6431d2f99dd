package place

import "github.com/cespare/xxhash/v2"

const (
	// heldMost bounds the parts that are remembered of an engine, some 50 B each. Those in an
	// engine's memory are some hundred: parts of thousands of tokens in a few hundred thousand.
	heldMost = 1024
	// heldShare of an engine's memory is what it keeps of prompts that were read; the rest
	// holds what it is working on. The parts used least lately go first, so a part is taken
	// to be there until so much was read after it.
	heldShare = 0.7
)

// held tells which parts of prompts an engine holds. The zero value holds none.
type held struct {
	// read counts all tokens that the engine read and made so far; at has the count when
	// a part was used last, by the hash of its name.
	read int64
	at   map[uint64]int64
}

// tokens gives how many tokens of a prompt's beginning the engine holds. A part is of use
// only with all parts before it.
func (hld *held) tokens(prm Prompt, memory int) int {
	count := 0
	for _, prt := range prm.shared() {
		at, ok := hld.at[xxhash.Sum64String(prt.ID)]
		if !ok || memory > 0 && float64(hld.read-at) > heldShare*float64(memory) {
			break
		}
		count += prt.Tokens
	}
	return count
}

// use notes that the engine works on a prompt with these parts, and how many tokens it
// reads and makes for it.
func (hld *held) use(parts []Part, tokens int) {
	if hld.at == nil {
		hld.at = map[uint64]int64{}
	}
	hld.read += int64(tokens)
	for _, prt := range parts {
		hld.at[xxhash.Sum64String(prt.ID)] = hld.read
	}
	for len(hld.at) > heldMost {
		hld.dropOldest()
	}
}

func (hld *held) dropOldest() {
	oldest, least := uint64(0), hld.read+1
	for hash, at := range hld.at {
		if at < least || at == least && hash < oldest {
			oldest, least = hash, at
		}
	}
	delete(hld.at, oldest)
}
