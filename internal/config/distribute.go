package config

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
)

// Times and bounds of spreading.
const (
	pollersPerRegion = 2
	storeTimeout     = 2 * time.Second
	pushTimeout      = 3 * time.Second
	fetchTimeout     = 2 * time.Second
	confirmInterval  = 300 * time.Millisecond
)

// DistributorOptions set up a Spreader.
type DistributorOptions struct {
	Log      *Log
	Holder   *Holder
	Link     peer.Link
	View     func() membership.View
	Poll     time.Duration // of a designated poller
	Backstop time.Duration // of everyone else
}

// Distributor brings revisions to this host and on to others. A few hosts per
// region poll the store; a new revision is pushed to one host in each data hall
// and from there to the hall's others; and every ping tells which revision a
// host has, so that whoever lags fetches from whoever leads.
type Distributor struct {
	options  DistributorOptions
	fetching sync.Mutex // one fetch at a time
}

// NewDistributor returns a spreader.
func NewDistributor(options DistributorOptions) *Distributor { return &Distributor{options: options} }

// Run polls the store until the context ends.
func (s *Distributor) Run(ctx context.Context) {
	for {
		s.PollOnce(ctx)
		period := s.options.Backstop
		if s.isPoller() || s.options.Holder.Current() == nil {
			period = s.options.Poll
		}
		if !clock.Sleep(ctx, clock.Around(period)) {
			return
		}
	}
}

// isPoller reports whether this host is one of its region's pollers.
func (s *Distributor) isPoller() bool {
	view := s.options.View()
	self, ok := view.Member(view.Self)
	if !ok {
		return true
	}
	var region []membership.Member
	for _, m := range view.Live() {
		if m.Region == self.Region {
			region = append(region, m)
		}
	}
	ranked := membership.Rank(region, "config-poller/"+self.Region)
	for i, m := range ranked {
		if m.Host == view.Self {
			return i < pollersPerRegion
		}
	}
	return len(ranked) < pollersPerRegion
}

// PollOnce reads the head and, if it is higher, the newest revision.
func (s *Distributor) PollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requested := clock.Now()
	number, err := s.options.Log.HeadNumber(ctx)
	if err != nil || number == 0 {
		return
	}
	if number > s.options.Holder.Number() {
		revision, err := s.options.Log.Read(ctx, number)
		if err != nil {
			return
		}
		if s.options.Holder.Apply(revision) {
			s.options.Holder.Confirm(number, requested)
			go s.pushTo(context.WithoutCancel(ctx), revision, s.regionView())
			return
		}
	}
	s.options.Holder.Confirm(number, requested)
}

// Observe takes in what another host says of itself: the age of its knowledge,
// if it has our revision, or that it has a higher one, which is then fetched.
func (s *Distributor) Observe(status peer.Status, at clock.Instant) {
	ownRevision := s.options.Holder.Number()
	switch {
	case status.Revision == ownRevision && status.Confirmed:
		s.options.Holder.Confirm(ownRevision, at.Add(-status.Age))
	case status.Revision > ownRevision:
		go s.fetchFrom(status, at)
	}
}

// fetchFrom gets the newest revision from a host that leads.
func (s *Distributor) fetchFrom(status peer.Status, at clock.Instant) {
	if !s.fetching.TryLock() {
		return
	}
	defer s.fetching.Unlock()
	if status.Revision <= s.options.Holder.Number() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message, err := s.options.Link.Fetch(ctx, status.Address, s.options.Holder.Number())
	if err != nil {
		return
	}
	if s.applyMessage(message) == nil && status.Confirmed {
		s.options.Holder.Confirm(status.Revision, at.Add(-status.Age))
	}
}

// errNoNewerRevision means that a peer had nothing newer.
var errNoNewerRevision = errors.New("no newer revision")

func (s *Distributor) applyMessage(message peer.RevisionMessage) error {
	if message.Number == 0 {
		return errNoNewerRevision
	}
	revision, err := codec.Decode[Revision](message.Data)
	if err != nil {
		return fmt.Errorf("read pushed revision: %w", err)
	}
	if revision.Number != message.Number {
		return errors.Errorf("read pushed revision: numbered %d, said to be %d", revision.Number, message.Number)
	}
	s.options.Holder.Apply(revision)
	return nil
}

// Fetch answers a host that lags.
func (s *Distributor) Fetch(above int64) (peer.RevisionMessage, error) {
	current := s.options.Holder.Current()
	if current == nil || current.Number() <= above {
		return peer.RevisionMessage{}, nil
	}
	return encodeRevision(current.Revision())
}

func encodeRevision(r Revision) (peer.RevisionMessage, error) {
	data, err := codec.Encode(r)
	if err != nil {
		return peer.RevisionMessage{}, err
	}
	return peer.RevisionMessage{Number: r.Number, Data: data}, nil
}

// Push takes in a pushed revision, passes it on and says who has what in force.
func (s *Distributor) Push(ctx context.Context, push peer.Push) ([]peer.Confirmation, error) {
	if err := s.applyMessage(push.Revision); err != nil {
		return nil, err
	}
	confirmations := []peer.Confirmation{{Host: s.options.View().Self, Revision: s.options.Holder.Number()}}
	return append(confirmations, s.relay(ctx, push.Revision, push.Relay)...), nil
}

// relay pushes a revision to hosts, all at once, and gathers what they confirm.
func (s *Distributor) relay(ctx context.Context, message peer.RevisionMessage, targets []peer.Target) []peer.Confirmation {
	return s.pushAll(ctx, message, targets, nil)
}

// pushAll pushes to targets; rest gives each the hosts that it relays to.
func (s *Distributor) pushAll(ctx context.Context, message peer.RevisionMessage, targets []peer.Target, relays map[string][]peer.Target) []peer.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var mu sync.Mutex // guards all
	var all []peer.Confirmation
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() {
			got, err := s.options.Link.Push(ctx, t.Address, peer.Push{Revision: message, Relay: relays[t.Host]})
			if err != nil {
				// The relay is gone: its hosts are told directly.
				got = s.pushAll(ctx, message, relays[t.Host], nil)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	wait.Wait()
	return all
}

// regionView is the view of this host's own region: what a poller finds is every
// region's own pollers' to find, so it need not be pushed further.
func (s *Distributor) regionView() membership.View {
	view := s.options.View()
	self, _ := view.Member(view.Self)
	regional := membership.View{Self: view.Self}
	for _, m := range view.Members {
		if m.Region == self.Region {
			regional.Members = append(regional.Members, m)
		}
	}
	return regional
}

// PushToAll pushes a revision to all other hosts: to one in each other data hall,
// which passes it on there, and directly to those of this host's own.
func (s *Distributor) PushToAll(ctx context.Context, r Revision) []peer.Confirmation {
	return s.pushTo(ctx, r, s.options.View())
}

func (s *Distributor) pushTo(ctx context.Context, r Revision, view membership.View) []peer.Confirmation {
	message, err := encodeRevision(r)
	if err != nil {
		return nil
	}
	targets, relays := pushTree(view)
	confirmations := []peer.Confirmation{{Host: view.Self, Revision: s.options.Holder.Number()}}
	return append(confirmations, s.pushAll(ctx, message, targets, relays)...)
}

// pushTree says whom to push to, and whom each of those relays to.
func pushTree(view membership.View) ([]peer.Target, map[string][]peer.Target) {
	self, _ := view.Member(view.Self)
	var targets []peer.Target
	relays := map[string][]peer.Target{}
	for hall, members := range membership.ByDataHall(view.ReachableOthers()) {
		if hall == self.DataHall {
			for _, m := range members {
				targets = append(targets, newTarget(m))
			}
			continue
		}
		ranked := membership.Rank(members, "relay/"+view.Self)
		targets = append(targets, newTarget(ranked[0]))
		for _, m := range ranked[1:] {
			relays[ranked[0].Host] = append(relays[ranked[0].Host], newTarget(m))
		}
	}
	return targets, relays
}

func newTarget(m membership.Member) peer.Target { return peer.Target{Host: m.Host, Address: m.Address} }

// InForce tells how far a revision has come.
type InForce struct {
	Revision  int64    `json:"revision"`
	Confirmed []string `json:"confirmed"`         // hosts that have it, or a higher one
	Lagging   []string `json:"lagging,omitempty"` // live hosts that did not say so
}

// Everywhere reports whether every live host has the revision.
func (f InForce) Everywhere() bool { return len(f.Lagging) == 0 }

// AwaitInForce pushes a revision until every live host has confirmed it or the
// context ends, and tells who has.
func (s *Distributor) AwaitInForce(ctx context.Context, r Revision) InForce {
	confirmed := map[string]bool{}
	for {
		for _, c := range s.PushToAll(ctx, r) {
			if c.Revision >= r.Number {
				confirmed[c.Host] = true
			}
		}
		state := newInForce(r.Number, s.options.View(), confirmed)
		if state.Everywhere() || !clock.Sleep(ctx, confirmInterval) {
			return state
		}
	}
}

// newInForce compares what was confirmed with who is there. A suspected host is
// there until the platform's list says otherwise: it may still serve callers.
func newInForce(number int64, view membership.View, confirmed map[string]bool) InForce {
	state := InForce{Revision: number}
	for _, m := range view.Members {
		if confirmed[m.Host] {
			state.Confirmed = append(state.Confirmed, m.Host)
		} else {
			state.Lagging = append(state.Lagging, m.Host)
		}
	}
	return state
}
