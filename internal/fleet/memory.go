package fleet

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Part is a part of a prompt. Engines keep parts for a model, and use one again only
// together with all parts before it.
type Part struct {
	ID     uint64 // of the part, for a model
	Tokens int
}

// Bounds of what is known of engines' memory.
const (
	// defaultCacheTokens stands in for the tokens that an engine's memory holds where
	// nobody tells.
	defaultCacheTokens = 200_000
	// cacheShare of an engine's memory is taken to keep parts; requests that run
	// there fill the rest.
	cacheShare = 0.5
	// maxCachedParts bounds the parts that are known of an endpoint.
	maxCachedParts = 1024
)

// prefixCache is what an endpoint is taken to keep, of what this host has seen sent there,
// least recently used first.
type prefixCache struct {
	parts  *simplelru.LRU[uint64, int] // tokens by part
	tokens int
}

// init makes room for parts: most endpoints of a large service never get a prompt from a host,
// and have none.
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

// prefixIndex is where parts of prompts are kept; the fleet's lock guards it.
type prefixIndex struct {
	holders map[uint64][]*member // by part
	lookup  int64                // of look-ups
}

// add takes in that a prompt is read at an endpoint.
func (y *prefixIndex) add(m *member, parts []Part, budget int) {
	m.cache.init()
	for _, p := range parts {
		old, known := m.cache.parts.Get(p.ID)
		m.cache.tokens += p.Tokens - old
		if !known {
			if m.cache.parts.Len() == maxCachedParts {
				y.evict(m)
			}
			y.holders[p.ID] = append(y.holders[p.ID], m)
		}
		m.cache.parts.Add(p.ID, p.Tokens)
	}
	for m.cache.tokens > budget && m.cache.parts.Len() > len(parts) {
		y.evict(m)
	}
}

// evict takes the part out that was unused the longest.
func (y *prefixIndex) evict(m *member) {
	if id, tokens, ok := m.cache.parts.RemoveOldest(); ok {
		m.cache.tokens -= tokens
		y.removeHolder(id, m)
	}
}

// forget takes in that an endpoint has not read a prompt after all.
func (y *prefixIndex) forget(m *member, parts []Part) {
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
		y.removeHolder(p.ID, m)
	}
}

// removeMember takes in that an endpoint is gone.
func (y *prefixIndex) removeMember(m *member) {
	if m.cache.parts == nil {
		return
	}
	for _, id := range m.cache.parts.Keys() {
		y.removeHolder(id, m)
	}
	m.cache = prefixCache{}
}

func (y *prefixIndex) removeHolder(id uint64, m *member) {
	left := slices.DeleteFunc(y.holders[id], func(other *member) bool { return other == m })
	if len(left) == 0 {
		delete(y.holders, id)
		return
	}
	y.holders[id] = left
}

// lookUp marks the endpoints that keep the beginning of a prompt.
func (y *prefixIndex) lookUp(parts []Part) {
	y.lookup++
	for i, p := range parts {
		found := false
		for _, m := range y.holders[p.ID] {
			if i == 0 {
				m.match = prefixMatch{lookup: y.lookup}
			}
			if m.match.lookup != y.lookup || m.match.parts != i {
				continue
			}
			m.match.parts, m.match.tokens, found = i+1, m.match.tokens+p.Tokens, true
		}
		if !found {
			return
		}
	}
}

// prefixMatch is how much of a prompt an endpoint keeps, as of a look-up.
type prefixMatch struct {
	lookup        int64
	parts, tokens int
}

// cachedTokens is how many of the prompt's tokens of the last look-up an endpoint keeps.
func (y *prefixIndex) cachedTokens(m *member) int {
	if m.match.lookup != y.lookup {
		return 0
	}
	return m.match.tokens
}
