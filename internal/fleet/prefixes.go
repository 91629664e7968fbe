package fleet

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Part is a part of a prompt. Engines cache parts for a model, and reuse a part only together with
// all parts before it.
type Part struct {
	ID     uint64 // of the part, for a model
	Tokens int
}

// Bounds of the record of engines' prefix caches.
const (
	// defaultCacheTokens is the size of an engine's prefix cache in tokens where it is not
	// configured.
	defaultCacheTokens = 200_000
	// cacheShare is the part of an engine's cache that is assumed to hold prompt parts; running
	// requests fill the rest.
	cacheShare = 0.5
	// maxCachedParts bounds the recorded parts of an endpoint.
	maxCachedParts = 1024
)

// prefixCache records the parts that an endpoint is assumed to have cached, of those that this host
// has seen sent there, least recently used first.
type prefixCache struct {
	parts  *simplelru.LRU[uint64, int] // tokens by part
	tokens int
}

// init allocates the cache on first use: most endpoints of a large service never get a prompt from
// a given host, and need none.
func (k *prefixCache) init() {
	if k.parts != nil {
		return
	}
	parts, err := simplelru.NewLRU[uint64, int](maxCachedParts, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	k.parts = parts
}

// prefixIndex records which endpoints have cached which parts of prompts; the fleet's mutex guards
// it.
type prefixIndex struct {
	holders map[uint64][]*member // by part
	lookups int64                // so far
}

// add records that a prompt is prefilled at an endpoint.
func (x *prefixIndex) add(m *member, parts []Part, budget int) {
	m.cache.init()
	for _, p := range parts {
		old, known := m.cache.parts.Get(p.ID)
		m.cache.tokens += p.Tokens - old
		if !known {
			if m.cache.parts.Len() == maxCachedParts {
				x.evict(m)
			}
			x.holders[p.ID] = append(x.holders[p.ID], m)
		}
		m.cache.parts.Add(p.ID, p.Tokens)
	}
	for m.cache.tokens > budget && m.cache.parts.Len() > len(parts) {
		x.evict(m)
	}
}

// evict removes the least recently used part of an endpoint.
func (x *prefixIndex) evict(m *member) {
	if id, tokens, ok := m.cache.parts.RemoveOldest(); ok {
		m.cache.tokens -= tokens
		x.removeHolder(id, m)
	}
}

// forget records that an endpoint has not prefilled a prompt after all.
func (x *prefixIndex) forget(m *member, parts []Part) {
	if m.cache.parts == nil {
		return
	}
	for _, p := range parts {
		tokens, ok := m.cache.parts.Peek(p.ID)
		if !ok {
			continue
		}
		m.cache.parts.Remove(p.ID)
		m.cache.tokens -= tokens
		x.removeHolder(p.ID, m)
	}
}

// removeMember removes all parts of an endpoint that is gone.
func (x *prefixIndex) removeMember(m *member) {
	if m.cache.parts == nil {
		return
	}
	for _, id := range m.cache.parts.Keys() {
		x.removeHolder(id, m)
	}
	m.cache = prefixCache{}
}

func (x *prefixIndex) removeHolder(id uint64, m *member) {
	left := slices.DeleteFunc(x.holders[id], func(other *member) bool { return other == m })
	if len(left) == 0 {
		delete(x.holders, id)
		return
	}
	x.holders[id] = left
}

// lookUp marks the endpoints that have the beginning of a prompt cached.
func (x *prefixIndex) lookUp(parts []Part) {
	x.lookups++
	for i, p := range parts {
		found := false
		for _, m := range x.holders[p.ID] {
			if i == 0 {
				m.match = prefixMatch{lookup: x.lookups}
			}
			if m.match.lookup != x.lookups || m.match.parts != i {
				continue
			}
			m.match.parts, m.match.tokens, found = i+1, m.match.tokens+p.Tokens, true
		}
		if !found {
			return
		}
	}
}

// prefixMatch is how much of a prompt an endpoint has cached, as of a lookup.
type prefixMatch struct {
	lookup        int64
	parts, tokens int
}

// cachedTokens returns how many of the tokens of the prompt last looked up an endpoint has cached.
func (x *prefixIndex) cachedTokens(m *member) int {
	if m.match.lookup != x.lookups {
		return 0
	}
	return m.match.tokens
}
