package place

import "github.com/cespare/xxhash/v2"

const (
	// maxCachedParts bounds the parts remembered per engine, at some 50 B each. An engine's memory
	// of a few hundred thousand tokens holds some hundred parts of thousands of tokens each.
	maxCachedParts = 1024
	// cacheShare is the share of an engine's memory that holds prefixes; the rest holds the
	// requests in progress. Engines evict the least recently used parts, so a part counts as cached
	// until this many tokens were processed after its last use.
	cacheShare = 0.7
)

// prefixCache models the prompt parts in the cache of an engine. The zero value is empty.
type prefixCache struct {
	// processed is the number of tokens that the engine has read and generated; at is its value at
	// the last use of a part, by the hash of the part's ID.
	processed int64
	at        map[uint64]int64
}

// prefixTokens returns the number of cached tokens at the start of a prompt. A part is usable only
// with all parts before it.
func (pfx *prefixCache) prefixTokens(prm Prompt, memory int) int {
	count := 0
	for _, prt := range prm.shared() {
		at, ok := pfx.at[xxhash.Sum64String(prt.ID)]
		if !ok || memory > 0 && float64(pfx.processed-at) > cacheShare*float64(memory) {
			break
		}
		count += prt.Tokens
	}
	return count
}

// add records that the engine works on a prompt with these parts, and the number of tokens that it
// reads and generates for it.
func (pfx *prefixCache) add(parts []Part, tokens int) {
	if pfx.at == nil {
		pfx.at = map[uint64]int64{}
	}
	pfx.processed += int64(tokens)
	for _, prt := range parts {
		pfx.at[xxhash.Sum64String(prt.ID)] = pfx.processed
	}
	for len(pfx.at) > maxCachedParts {
		pfx.evictOldest()
	}
}

func (pfx *prefixCache) evictOldest() {
	oldest, least := uint64(0), pfx.processed+1
	for hash, at := range pfx.at {
		if at < least || at == least && hash < oldest {
			oldest, least = hash, at
		}
	}
	delete(pfx.at, oldest)
}
