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
	// memoryUnsaid stands in for the tokens that an engine's memory holds where
	// nobody tells.
	memoryUnsaid = 200_000
	// memoryPart of an engine's memory is taken to keep parts; requests that run
	// there fill the rest.
	memoryPart = 0.5
	// memoryEntries bounds the parts that are known of an endpoint.
	memoryEntries = 1024
)

// kept is what an endpoint is taken to keep, of what this host has seen sent there,
// least recently used first.
type kept struct {
	parts  *simplelru.LRU[uint64, int] // tokens by part
	tokens int
}

// ready makes room for parts: most endpoints of a large service never get a prompt from a host,
// and have none.
func (k *kept) ready() {
	if k.parts != nil {
		return
	}
	parts, err := simplelru.NewLRU[uint64, int](memoryEntries, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	k.parts = parts
}

// memory is where parts of prompts are kept; the fleet's lock guards it.
type memory struct {
	holders map[uint64][]*member // by part
	round   int64                // of look-ups
}

// note takes in that a prompt is read at an endpoint.
func (y *memory) note(m *member, parts []Part, budget int) {
	m.kept.ready()
	for _, p := range parts {
		old, known := m.kept.parts.Get(p.ID)
		m.kept.tokens += p.Tokens - old
		if !known {
			if m.kept.parts.Len() == memoryEntries {
				y.evict(m)
			}
			y.holders[p.ID] = append(y.holders[p.ID], m)
		}
		m.kept.parts.Add(p.ID, p.Tokens)
	}
	for m.kept.tokens > budget && m.kept.parts.Len() > len(parts) {
		y.evict(m)
	}
}

// evict takes the part out that was unused the longest.
func (y *memory) evict(m *member) {
	if id, tokens, ok := m.kept.parts.RemoveOldest(); ok {
		m.kept.tokens -= tokens
		y.release(id, m)
	}
}

// forget takes in that an endpoint has not read a prompt after all.
func (y *memory) forget(m *member, parts []Part) {
	if m.kept.parts == nil {
		return
	}
	for _, p := range parts {
		tokens, ok := m.kept.parts.Peek(p.ID)
		if !ok {
			continue
		}
		m.kept.parts.Remove(p.ID)
		m.kept.tokens -= tokens
		y.release(p.ID, m)
	}
}

// drop takes in that an endpoint is gone.
func (y *memory) drop(m *member) {
	if m.kept.parts == nil {
		return
	}
	for _, id := range m.kept.parts.Keys() {
		y.release(id, m)
	}
	m.kept = kept{}
}

func (y *memory) release(id uint64, m *member) {
	left := slices.DeleteFunc(y.holders[id], func(other *member) bool { return other == m })
	if len(left) == 0 {
		delete(y.holders, id)
		return
	}
	y.holders[id] = left
}

// find marks the endpoints that keep the beginning of a prompt.
func (y *memory) find(parts []Part) {
	y.round++
	for i, p := range parts {
		found := false
		for _, m := range y.holders[p.ID] {
			if i == 0 {
				m.found = finding{round: y.round}
			}
			if m.found.round != y.round || m.found.parts != i {
				continue
			}
			m.found.parts, m.found.tokens, found = i+1, m.found.tokens+p.Tokens, true
		}
		if !found {
			return
		}
	}
}

// finding is how much of a prompt an endpoint keeps, as of a look-up.
type finding struct {
	round         int64
	parts, tokens int
}

// known is how many of the prompt's tokens of the last look-up an endpoint keeps.
func (y *memory) known(m *member) int {
	if m.found.round != y.round {
		return 0
	}
	return m.found.tokens
}
