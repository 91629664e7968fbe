package engine

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
)

// Load is an engine's report of its load, which may be old.
type Load struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
	Versions []string  `json:"versions"`
	At       time.Time `json:"at"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load())
}

// load returns the last report, made anew when it is older than the lag.
func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.report.At.IsZero() && time.Since(e.report.At) < e.options.LoadLag {
		return e.report
	}
	e.report = Load{
		Running: e.running, Queued: e.queue.Len(), Slots: e.options.Slots,
		Draining: e.draining, At: time.Now(),
	}
	for ref := range e.versions {
		e.report.Versions = append(e.report.Versions, ref.String())
	}
	sort.Strings(e.report.Versions)
	return e.report
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Order is a fenced order to load or unload a version.
type Order struct {
	Epoch   int64  `json:"epoch"`
	Action  string `json:"action"` // ActionLoad or ActionUnload
	Version string `json:"version"`
}

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.fence(order.Epoch) {
		http.Error(w, "a newer epoch gave orders", http.StatusConflict)
		return
	}
	ref := declare.ParseRef(order.Version)
	switch order.Action {
	case ActionLoad:
		if !clock.Sleep(r.Context(), e.options.LoadTime) || !e.fence(order.Epoch) {
			http.Error(w, "overtaken while loading", http.StatusConflict)
			return
		}
		e.addVersion(ref)
	case ActionUnload:
		e.mu.Lock()
		delete(e.versions, ref)
		e.mu.Unlock()
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

// fence takes an epoch as the newest seen, unless a newer one was.
func (e *Engine) fence(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch < e.epoch {
		return false
	}
	e.epoch = epoch
	return true
}

func (e *Engine) addVersion(ref declare.Ref) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.versions[ref]; !ok {
		e.versions[ref] = e.options.Versions[ref]
	}
}

// CacheEvent tells that a prefix came into the cache or left it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt's first message
	Evicted  bool   `json:"evicted"`
}

// prefixCache holds the prompts' first messages, oldest out first.
type prefixCache struct {
	limit  int
	gap    int
	used   int
	order  []uint64
	sizes  map[uint64]int
	events []CacheEvent
	serial int64
}

func newPrefixCache(limit, gap int) prefixCache {
	return prefixCache{limit: limit, gap: gap, sizes: map[uint64]int{}}
}

// touch returns the tokens of a prefix that were cached, and caches it.
func (c *prefixCache) touch(prefix uint64, tokens int) int {
	if size, ok := c.sizes[prefix]; ok {
		c.refresh(prefix)
		return size
	}
	for c.used+tokens > c.limit && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.used -= c.sizes[oldest]
		delete(c.sizes, oldest)
		c.note(oldest, true)
	}
	c.order = append(c.order, prefix)
	c.sizes[prefix] = tokens
	c.used += tokens
	c.note(prefix, false)
	return 0
}

// refresh moves a prefix to the newest place.
func (c *prefixCache) refresh(prefix uint64) {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return
		}
	}
}

func (c *prefixCache) note(prefix uint64, evicted bool) {
	c.serial++
	if c.gap > 0 && c.serial%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.serial, Prefix: prefix, Evicted: evicted})
}

// touchPrefix looks the request's first message up in the cache.
func (e *Engine) touchPrefix(r chat.Request) int {
	if len(r.Messages) < 2 {
		return 0
	}
	first := r.Messages[0].Content
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.touch(xxhash.Sum64(first), len(first)/4+1)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := make([]CacheEvent, 0)
	for _, v := range e.cache.events {
		if v.Sequence > after {
			events = append(events, v)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}
