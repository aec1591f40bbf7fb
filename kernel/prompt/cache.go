package prompt

import "container/list"

// cache simulates a prefix cache that evicts the least recently used parts. Parts that no
// other request shares take up room, but are not looked up.
type cache struct {
	capacity int // tokens
	used     int // tokens
	order    *list.List
	parts    map[uint32]*list.Element // shared parts
}

// cachedPart is an element of cache.order.
type cachedPart struct {
	key    uint32
	tokens int
	shared bool
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), parts: map[uint32]*list.Element{}}
}

func (cache *cache) holds(key uint32) bool { return cache.parts[key] != nil }

// use makes a shared part the most recently used one, and adds it if it is not cached.
func (cache *cache) use(key uint32, tokens int) {
	if element := cache.parts[key]; element != nil {
		cache.order.MoveToFront(element)
		return
	}
	cache.parts[key] = cache.order.PushFront(cachedPart{key: key, tokens: tokens, shared: true})
	cache.used += tokens
}

// useUnshared adds a part that no other request shares.
func (cache *cache) useUnshared(tokens int) {
	cache.order.PushFront(cachedPart{tokens: tokens})
	cache.used += tokens
}

// evict removes parts until the others fit, and returns the keys of the shared ones.
func (cache *cache) evict() []uint32 {
	var evicted []uint32
	for cache.used > cache.capacity && cache.order.Len() > 0 {
		part := cache.order.Remove(cache.order.Back()).(cachedPart)
		cache.used -= part.tokens
		if part.shared {
			delete(cache.parts, part.key)
			evicted = append(evicted, part.key)
		}
	}
	return evicted
}
