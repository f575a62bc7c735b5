package emulator

import (
	"container/list"
	"hash/maphash"
)

// prefixBytes is how much of a body's beginning counts as its cached prefix.
const prefixBytes = 256

// prefixCache remembers the prefixes that an engine has cached, the most recently
// used ones. Its owner locks it.
type prefixCache struct {
	limit  int
	seed   maphash.Seed
	order  *list.List
	places map[uint64]*list.Element
	hits   int
	misses int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, seed: maphash.MakeSeed(), order: list.New(), places: map[uint64]*list.Element{}}
}

// use returns whether the prefix of body was cached, and caches it.
func (c *prefixCache) use(body []byte) bool {
	key := maphash.Bytes(c.seed, body[:min(len(body), prefixBytes)])
	if place, ok := c.places[key]; ok {
		c.order.MoveToFront(place)
		c.hits++
		return true
	}
	c.misses++
	c.places[key] = c.order.PushFront(key)
	if c.order.Len() <= c.limit {
		return false
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	if key, ok := oldest.Value.(uint64); ok {
		delete(c.places, key)
	}
	return false
}
