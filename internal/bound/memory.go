package bound

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
)

// memoryShare is the part of the host's memory limit that parts of responses may take: 1/memoryShare.
const memoryShare = 8

// ProcessLimit returns how many bytes of incomplete events, and of bodies that are held until they are
// whole, the process may hold, by its memory limit.
func ProcessLimit() int64 { return debug.SetMemoryLimit(-1) / memoryShare }

// Memory bounds the bytes that all holders hold at once. It is safe for concurrent use.
type Memory struct {
	limit func() int64

	mu      sync.Mutex // guards all below, and the bytes of holders
	holders map[*Holder]struct{}
	total   int64
}

// NewMemory returns a memory without holders. The limit may change between two calls.
func NewMemory(limit func() int64) *Memory {
	return &Memory{limit: limit, holders: map[*Holder]struct{}{}}
}

// Total returns the number of bytes held, without those of holders that were ended.
func (m *Memory) Total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// Holder is one request that holds bytes.
type Holder struct {
	memory *Memory
	place  Place
	end    func()
	bytes  int64
	ended  atomic.Bool
}

// NewHolder returns a holder of no bytes, of a part of a response. If it is the largest when the limit is
// exceeded, end is called once, from another holder's call; it must not block.
func (m *Memory) NewHolder(p Place, end func()) *Holder {
	return &Holder{memory: m, place: p, end: end}
}

// Resize sets the number of bytes that the holder holds. It returns an *Error if the holder was ended.
func (h *Holder) Resize(bytes int64) error {
	m := h.memory
	m.mu.Lock()
	ended := m.resize(h, bytes)
	err := h.err(bytes)
	m.mu.Unlock()
	for _, other := range ended {
		if other != h {
			other.end()
		}
	}
	return err
}

// TryResize sets the number of bytes that the holder holds, unless the limit would be exceeded; then it
// returns false. It ends no holder.
func (h *Holder) TryResize(bytes int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Ended() || m.total+bytes-h.bytes > m.limit() {
		return false
	}
	m.resize(h, bytes)
	return true
}

// Ended reports whether the holder was ended.
func (h *Holder) Ended() bool { return h.ended.Load() }

// Err returns an *Error if the holder was ended.
func (h *Holder) Err() error {
	if !h.Ended() {
		return nil
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.err(h.bytes)
}

// Release gives back all bytes.
func (h *Holder) Release() { _ = h.Resize(0) }

// err returns an *Error if the holder was ended; the caller holds mu.
func (h *Holder) err(bytes int64) error {
	if !h.Ended() {
		return nil
	}
	return &Error{Place: h.place, Bytes: bytes}
}

// resize sets the bytes of a holder and returns the holders that it ended for that; the caller holds mu.
func (m *Memory) resize(h *Holder, bytes int64) []*Holder {
	if h.Ended() {
		return nil
	}
	m.total += bytes - h.bytes
	h.bytes = bytes
	if bytes > 0 {
		m.holders[h] = struct{}{}
	} else {
		delete(m.holders, h)
	}
	var ended []*Holder
	for limit := m.limit(); m.total > limit; {
		largest := m.largest()
		largest.ended.Store(true)
		m.total -= largest.bytes
		delete(m.holders, largest)
		ended = append(ended, largest)
	}
	return ended
}

// largest returns the holder of the most bytes; the caller holds mu, and there is one.
func (m *Memory) largest() *Holder {
	var largest *Holder
	for h := range m.holders {
		if largest == nil || h.bytes > largest.bytes {
			largest = h
		}
	}
	return largest
}
