package quarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxAnswered bounds the parts of which a host keeps that they were answered, the latest ones.
	maxAnswered = 4096
	// answeredTTL is how long a part counts as one that endpoints run well. A part may become one
	// under which they crash, with another version of theirs.
	answeredTTL = 10 * time.Minute
)

// answeredParts has the parts of prompts on which this host has seen whole answers lately. It is safe
// for concurrent use.
type answeredParts struct {
	mu    sync.Mutex // guards parts
	parts *simplelru.LRU[Fingerprint, answerTimes]
}

// answerTimes are times at which answers on a part ended: the last, and one long enough before it, where
// there is one, that its endpoint has shown since whether it crashed under it.
type answerTimes struct{ early, last time.Duration }

func newAnsweredParts() *answeredParts {
	parts, err := simplelru.NewLRU[Fingerprint, answerTimes](maxAnswered, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &answeredParts{parts: parts}
}

// note notes that an answer on the parts has ended whole.
func (a *answeredParts) note(parts []Part, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range parts {
		times, known := a.parts.Get(p.Key)
		if !known {
			times.early = now
		} else if now-times.early > answeredTTL/2 {
			times.early = times.last
		}
		times.last = now
		a.parts.Add(p.Key, times)
	}
}

// early returns a time, before others if there are any, at which an answer on a part ended; false if
// none did lately.
func (a *answeredParts) early(key Fingerprint, now time.Duration) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	times, known := a.parts.Peek(key)
	return times.early, known && now-times.last < answeredTTL
}
