package fleet

import "time"

// Heard is what the head of an answer to a request with a prompt told of an endpoint.
type Heard struct {
	Endpoint, Service, Model string
	Ticket                   int64         // of the advice, 0 if there was none
	Took                     time.Duration // from the sending of the request
	Expected                 time.Duration // as it was sent
	Queue                    time.Duration // of that, the wait for others
	Read                     int           // tokens that had to be read
	Sure                     bool          // none of them can have been kept
	Load                     Load          // zero Slots if it said nothing
}

// OnHead has a function told of the head of each answer to a request with a prompt;
// it is called before any attempt is made.
func (f *Fleet) OnHead(heard func(Heard)) { f.heard = heard }

// Hear takes in what another host heard.
func (f *Fleet) Hear(h Heard) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[h.Endpoint]; ok {
		m.begun(h.Ticket)
		f.hear(m, h)
	}
}

// hear takes in the head of an answer: the endpoint's load and waits, and the time
// that reading takes.
func (f *Fleet) hear(m *member, h Heard) {
	f.echo(m, h.Load, m.flying)
	r := f.readingOf(h.Service, h.Model)
	m.wait, m.waitAt = max(0, h.Took-r.head(h.Read)), f.options.Now()
	f.prices[h.Service] = f.prices[h.Service].with(m.wait, r.tokens(h.Read))
	f.overruns[h.Service] = f.overruns[h.Service].with(h.Took, h.Expected)
	r.add(h.Read, h.Sure, h.Queue, h.Took)
}

// echo takes in an endpoint's own word of its load, of which this host's requests
// are a part.
func (f *Fleet) echo(m *member, l Load, own int) {
	if l.Slots == 0 {
		return
	}
	now := f.options.Now()
	m.others = max(0, l.Running+l.Waiting-own-m.remote(now))
	m.saidAt = now
}
