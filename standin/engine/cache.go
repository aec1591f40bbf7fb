package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const blockBytes = 64 // prompt bytes in one block of the prefix cache

// prefixCache holds the blocks of prompts seen lately, the oldest out first.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use puts a prompt into the cache and returns how many of its tokens had to be
// computed.
func (prefixCache *prefixCache) use(model, prompt string) int {
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

func (prefixCache *prefixCache) touch(hash uint64) bool {
	if element, ok := prefixCache.blocks[hash]; ok {
		prefixCache.order.MoveToFront(element)
		return true
	}
	if prefixCache.capacity == 0 {
		return false
	}
	prefixCache.blocks[hash] = prefixCache.order.PushFront(hash)
	if prefixCache.order.Len() > prefixCache.capacity {
		oldest := prefixCache.order.Back()
		delete(prefixCache.blocks, oldest.Value.(uint64))
		prefixCache.order.Remove(oldest)
	}
	return false
}
