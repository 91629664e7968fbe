package quarantine

import "time"

// outlastsBy is how much longer than at any of its crashes a request's answer has to be
// under way elsewhere to show that it crashes nothing: twice as long and this.
const outlastsBy = 50 * time.Millisecond

// Ongoing is a request whose answer has begun.
type Ongoing struct {
	request func() Fingerprint
	since   time.Time
}

// Begin notes that a request's answer has begun; End is to be called once it has ended.
func (b *Book) Begin(request func() Fingerprint) *Ongoing {
	o := &Ongoing{request: request, since: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ongoing[o] = struct{}{}
	return o
}

// End notes that a request's answer has ended, however it did.
func (b *Book) End(o *Ongoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ongoing, o)
}

// outlast clears requests of which an answer goes on elsewhere for longer than endpoints took to
// crash under them. What is asked often runs at all endpoints, so also at those that crash.
func (b *Book) outlast() {
	v := b.seen()
	longest := map[Fingerprint]time.Duration{}
	for f, n := range v.counts {
		if n >= leftAt {
			longest[f] = 0
		}
	}
	if len(longest) == 0 {
		return
	}
	for _, c := range v.Crashes {
		for f, run := range c.Under {
			if _, suspected := longest[f]; suspected {
				longest[f] = max(longest[f], run.Answered)
			}
		}
	}
	now := time.Now()
	for o := range b.ongoing {
		f := o.request()
		l, suspected := longest[f]
		if suspected && now.Sub(o.since) > 2*l+outlastsBy {
			b.finish(f, b.clock.Now(), "an answer to it goes on elsewhere")
		}
	}
}

// copies counts the answers to a request that are under way.
func (b *Book) copies(f Fingerprint) int {
	n := 0
	for o := range b.ongoing {
		if o.request() == f {
			n++
		}
	}
	return n
}
