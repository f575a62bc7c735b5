package emulator

import (
	"container/list"
	"hash/maphash"
)

// prefixBytes is the length of the part of a request body that is used as its cache
// key.
const prefixBytes = 256

// prefixCache models an engine's prompt prefix cache with LRU eviction. It is not safe
// for concurrent use.
type prefixCache struct {
	capacity int
	seed     maphash.Seed
	// recency lists the cached keys, most recently used first.
	recency  *list.List
	elements map[uint64]*list.Element
	hits     int
	misses   int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, seed: maphash.MakeSeed(), recency: list.New(), elements: map[uint64]*list.Element{}}
}

// touch marks the prefix of body as most recently used, evicts the oldest prefix if
// the cache is full, and reports whether the prefix was already cached.
func (c *prefixCache) touch(body []byte) bool {
	key := maphash.Bytes(c.seed, body[:min(len(body), prefixBytes)])
	if element, ok := c.elements[key]; ok {
		c.recency.MoveToFront(element)
		c.hits++
		return true
	}
	c.misses++
	c.elements[key] = c.recency.PushFront(key)
	if c.recency.Len() <= c.capacity {
		return false
	}
	oldest := c.recency.Back()
	c.recency.Remove(oldest)
	if key, ok := oldest.Value.(uint64); ok {
		delete(c.elements, key)
	}
	return false
}
