package duty

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/usage"
)

// Times of questions to other hosts.
const (
	// askLimit is ample for a small message between data halls, on a host that is busy.
	askLimit = 600 * time.Millisecond
	// relayLimit is the same for hosts that another one asks.
	relayLimit = 400 * time.Millisecond
	// directMost hosts are asked one by one; beyond, some ask others.
	directMost = 64
)

// Member is another host.
type Member struct{ Name, Address string }

// Question is what the holder asks.
type Question struct {
	Known  bool      // the holder knows the time of day
	Now    time.Time // it
	Window time.Duration
	Since  usage.Window // the first to be told of
	Relay  []Member     // to be asked the same
	Free   bool         // the sender has given the duties up
	Copy   *Answer      // what the sender has counted itself, to be kept for its successor
}

// Answer is what a host tells.
type Answer struct {
	Host    string
	Shown   time.Time // its own time of day
	Account usage.HostUsage
	Running map[string]int // requests in hand, by service
	Copied  bool           // it was told before by a host that may be gone; only its account counts

	at clock.Instant // about when it told
}

// Querier asks other hosts.
type Querier interface {
	// Ask returns the answers of a host and of those that it asks.
	Ask(ctx context.Context, address string, q Question) ([]Answer, error)
}

// answer is this host's own.
func (k *Coordinator) answer(q Question) Answer {
	a := Answer{Host: k.options.Host, Shown: time.Now(), Running: k.options.Running(), at: clock.Now()}
	a.Account.Incarnation = k.options.Incarnation
	if q.Known && q.Window > 0 {
		a.Account = k.options.Counter.Snapshot(q.Now, q.Window, q.Since)
	}
	return a
}

// gather asks hosts; those that do not answer are left out.
func (k *Coordinator) gather(ctx context.Context, q Question, members []Member) []Answer {
	size := 1
	if len(members) > directMost {
		size = int(math.Ceil(math.Sqrt(float64(len(members)))))
	}
	var mu sync.Mutex
	var all []Answer
	var asking sync.WaitGroup
	own, told := k.answer(q), 0
	for part := range slices.Chunk(members, size) {
		q := q
		if told++; told <= copies {
			q.Copy = &own
		}
		asking.Go(func() {
			answers := k.askThrough(ctx, q, part)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, answers...)
		})
	}
	asking.Wait()
	return all
}

// relayTries is how many of some hosts are tried for asking the others of them.
const relayTries = 2

// askThrough asks the first of some hosts, which asks the others of them.
func (k *Coordinator) askThrough(ctx context.Context, q Question, part []Member) []Answer {
	for i := range min(relayTries, len(part)) {
		asked := clock.Now()
		limited, cancel := context.WithTimeout(ctx, askLimit)
		q := q
		q.Relay = part[i+1:]
		answers, err := k.options.Querier.Ask(limited, part[i].Address, q)
		cancel()
		if err == nil {
			// It told at some moment between; the middle is wrong by half of that at most.
			middle := asked.Add(clock.Since(asked) / 2)
			for j := range answers {
				answers[j].at = middle
			}
			return answers
		}
		k.options.Logger.Debug("host tells nothing", "peer", part[i].Name, "address", part[i].Address, "error", err)
	}
	return nil
}

// Tell is this host's answer to the one that does the duties, with those of hosts that it asks for
// it.
func (k *Coordinator) Tell(ctx context.Context, q Question) []Answer {
	answers := []Answer{k.answer(q)}
	if q.Copy != nil {
		k.keepCopy(*q.Copy)
	}
	answers = append(answers, k.heldCopies()...)
	if q.Free && k.options.Leases != nil {
		k.options.Leases.CheckNow()
	}
	if len(q.Relay) == 0 {
		return answers
	}
	began, members := clock.Now(), q.Relay
	q.Relay, q.Copy = nil, nil
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, m := range members {
		asking.Go(func() {
			limited, cancel := context.WithTimeout(ctx, relayLimit)
			defer cancel()
			told, err := k.options.Querier.Ask(limited, m.Address, q)
			if err != nil {
				k.options.Logger.Debug("host tells nothing", "peer", m.Name, "address", m.Address, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, told...)
		})
	}
	asking.Wait()
	k.options.Logger.Debug("hosts asked for another", "hosts", len(members), "answers", len(answers)-1, "took_ms", clock.Since(began).Milliseconds())
	return answers
}

// errAsk wraps what kept a host from answering.
func errAsk(address string, err error) error {
	return fmt.Errorf("ask %s for its account: %w", address, err)
}

const (
	// copies of what the holder has counted itself are with other hosts, so that not both it and
	// all of them are likely to be lost.
	copies = 3
	// copiesMost bounds the lives of which a host keeps copies.
	copiesMost = 8
)

// keepCopy keeps what a holder had counted.
func (k *Coordinator) keepCopy(a Answer) {
	a.Copied = true
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies = slices.DeleteFunc(k.copies, func(old Answer) bool { return old.Account.Incarnation == a.Account.Incarnation })
	k.copies = append(k.copies, a)
	k.copies = k.copies[max(0, len(k.copies)-copiesMost):]
}

func (k *Coordinator) heldCopies() []Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.copies)
}
