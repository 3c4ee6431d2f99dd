package place

// heldMost bounds the heads that are remembered of an engine, some 50 B each. Those of an
// engine's memory are some hundred: parts of thousands of tokens in a few hundred thousand.
const heldMost = 1024

// heldShare of an engine's memory is what it keeps of prompts that were read; the rest
// holds what it is working on. The parts used least lately go first, so a head is
// taken to be there until so much was read after it.
const heldShare = 0.7

// held tells which beginnings of prompts an engine holds. The zero value holds none.
type held struct {
	// read counts all tokens that the engine read and made so far; at has the count when
	// a head was used last.
	read int64
	at   map[uint64]int64
}

// tokens gives how many tokens of a prompt's beginning the engine holds.
func (hld *held) tokens(heads []head, memory int) int {
	count := 0
	for _, hd := range heads {
		at, ok := hld.at[hd.hash]
		if !ok || memory > 0 && float64(hld.read-at) > heldShare*float64(memory) {
			break
		}
		count = hd.tokens
	}
	return count
}

// use notes that the engine reads a prompt with these heads, and how many tokens it reads
// and makes for it.
func (hld *held) use(heads []head, tokens int) {
	if hld.at == nil {
		hld.at = map[uint64]int64{}
	}
	hld.read += int64(tokens)
	for _, hd := range heads {
		hld.at[hd.hash] = hld.read
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
