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
	mu sync.Mutex // guards at
	at *simplelru.LRU[Fingerprint, time.Duration]
}

func newAnsweredParts() *answeredParts {
	at, err := simplelru.NewLRU[Fingerprint, time.Duration](maxAnswered, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &answeredParts{at: at}
}

// note notes that an answer on the parts has ended whole.
func (a *answeredParts) note(parts []Part, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range parts {
		a.at.Add(p.Key, now)
	}
}

// has reports whether a part was answered lately.
func (a *answeredParts) has(key Fingerprint, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.at.Peek(key)
	return known && now-at < answeredTTL
}
