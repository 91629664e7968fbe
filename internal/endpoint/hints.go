package endpoint

import "time"

// Bounds of the hints about prompt prefixes.
const (
	hintAge   = 5 * time.Minute
	hintCount = 20_000
)

// hintLocked returns the endpoint that was last sent a prefix, if that was not
// long ago; the caller holds mu.
func (p *Pool) hintLocked(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	h, ok := p.hints[prefix]
	if !ok || time.Since(h.at) > hintAge {
		return ""
	}
	return h.endpoint
}

// noteLocked remembers where a prefix went; the caller holds mu.
func (p *Pool) noteLocked(prefix uint64, id string) {
	if prefix == 0 {
		return
	}
	if len(p.hints) >= hintCount {
		p.dropHintsLocked()
	}
	p.hints[prefix] = hint{endpoint: id, at: time.Now()}
}

// dropHintsLocked makes room: old hints go, and if that is not enough, some
// others; the caller holds mu.
func (p *Pool) dropHintsLocked() {
	for prefix, h := range p.hints {
		if time.Since(h.at) > hintAge || len(p.hints) >= hintCount*9/10 {
			delete(p.hints, prefix)
		}
	}
}
