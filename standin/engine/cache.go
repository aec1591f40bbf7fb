package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a block of the prefix cache in bytes of prompt text.
const blockBytes = 64

// prefixCache is an LRU cache of prompt blocks. The key of a block is a hash of
// the model and of the prompt up to the end of the block.
type prefixCache struct {
	capacity int        // in blocks; 0 turns the cache off
	recency  *list.List // hashes of blocks, most recently used first
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// insert adds the blocks of prompt to the cache and returns the number of prompt
// tokens that were not covered by the longest cached prefix.
func (prefixCache *prefixCache) insert(model, prompt string) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	cached := 0
	missed := false
	for start := 0; start < len(prompt); start += blockBytes {
		block := prompt[start:min(start+blockBytes, len(prompt))]
		_, _ = digest.WriteString(block)
		hit := prefixCache.touch(digest.Sum64())
		missed = missed || !hit
		if !missed {
			cached += len(block)
		}
	}
	return (len(prompt) - cached) / bytesPerToken
}

// touch marks a block as most recently used, adds it if it is missing, and reports
// whether it was cached.
func (prefixCache *prefixCache) touch(hash uint64) bool {
	if element, ok := prefixCache.blocks[hash]; ok {
		prefixCache.recency.MoveToFront(element)
		return true
	}
	if prefixCache.capacity == 0 {
		return false
	}
	prefixCache.blocks[hash] = prefixCache.recency.PushFront(hash)
	if prefixCache.recency.Len() > prefixCache.capacity {
		oldest := prefixCache.recency.Back()
		delete(prefixCache.blocks, oldest.Value.(uint64))
		prefixCache.recency.Remove(oldest)
	}
	return false
}
