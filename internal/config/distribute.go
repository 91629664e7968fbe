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

// Timeouts, intervals and limits of distribution.
const (
	pollersPerRegion = 2
	storeTimeout     = 2 * time.Second
	pushTimeout      = 3 * time.Second
	fetchTimeout     = 2 * time.Second
	confirmInterval  = 300 * time.Millisecond
)

// DistributorOptions configure a Distributor.
type DistributorOptions struct {
	Log      *Log
	Holder   *Holder
	Link     peer.Link
	View     func() membership.View
	Poll     time.Duration // poll interval of a region's pollers and of a host without a configuration
	Backstop time.Duration // poll interval of all other hosts
}

// Distributor obtains revisions for this host and forwards them to others. A few hosts per region
// poll the store. A new revision is pushed to one host in each data hall, which relays it to the
// other hosts of the hall. Every ping carries the sender's revision number, so that a host with an
// older revision fetches the newer one from the sender.
type Distributor struct {
	options  DistributorOptions
	fetching sync.Mutex // one fetch at a time
}

// NewDistributor returns a distributor with the given options.
func NewDistributor(options DistributorOptions) *Distributor { return &Distributor{options: options} }

// Run polls the store until the context ends.
func (d *Distributor) Run(ctx context.Context) {
	for {
		d.PollOnce(ctx)
		period := d.options.Backstop
		if d.isPoller() || d.options.Holder.Current() == nil {
			period = d.options.Poll
		}
		if !clock.Sleep(ctx, clock.Around(period)) {
			return
		}
	}
}

// isPoller reports whether this host is one of its region's pollers.
func (d *Distributor) isPoller() bool {
	view := d.options.View()
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

// PollOnce reads the head of the log and, if its number is higher than that of the revision in
// force, the newest revision.
func (d *Distributor) PollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requested := clock.Now()
	number, err := d.options.Log.HeadNumber(ctx)
	if err != nil || number == 0 {
		return
	}
	if number > d.options.Holder.Number() {
		revision, err := d.options.Log.Read(ctx, number)
		if err != nil {
			return
		}
		if d.options.Holder.Apply(revision) {
			d.options.Holder.Confirm(number, requested)
			go d.pushTo(context.WithoutCancel(ctx), revision, d.regionView())
			return
		}
	}
	d.options.Holder.Confirm(number, requested)
}

// Observe processes the status of another host. If that host has the same revision, its
// confirmation of the head counts here too; if it has a higher one, the revision is fetched.
func (d *Distributor) Observe(status peer.Status, at clock.Instant) {
	ownRevision := d.options.Holder.Number()
	switch {
	case status.Revision == ownRevision && status.Confirmed:
		d.options.Holder.Confirm(ownRevision, at.Add(-status.Age))
	case status.Revision > ownRevision:
		go d.fetchFrom(status, at)
	}
}

// fetchFrom fetches the newest revision from a host that has a higher one.
func (d *Distributor) fetchFrom(status peer.Status, at clock.Instant) {
	if !d.fetching.TryLock() {
		return
	}
	defer d.fetching.Unlock()
	if status.Revision <= d.options.Holder.Number() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message, err := d.options.Link.Fetch(ctx, status.Address, d.options.Holder.Number())
	if err != nil {
		return
	}
	if d.applyMessage(message) == nil && status.Confirmed {
		d.options.Holder.Confirm(status.Revision, at.Add(-status.Age))
	}
}

// errNoNewerRevision means that the peer had no newer revision.
var errNoNewerRevision = errors.New("no newer revision")

func (d *Distributor) applyMessage(message peer.RevisionMessage) error {
	if message.Number == 0 {
		return errNoNewerRevision
	}
	revision, err := codec.Decode[Revision](message.Data)
	if err != nil {
		return fmt.Errorf("read pushed revision: %w", err)
	}
	if revision.Number != message.Number {
		return errors.Errorf("read pushed revision: it has number %d, but the message says %d", revision.Number, message.Number)
	}
	d.options.Holder.Apply(revision)
	return nil
}

// Fetch returns the revision in force if its number is higher than above, or an empty message.
func (d *Distributor) Fetch(above int64) (peer.RevisionMessage, error) {
	current := d.options.Holder.Current()
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

// Push applies a pushed revision, relays it and returns which hosts have which revision in force.
func (d *Distributor) Push(ctx context.Context, push peer.Push) ([]peer.Confirmation, error) {
	if err := d.applyMessage(push.Revision); err != nil {
		return nil, err
	}
	confirmations := []peer.Confirmation{{Host: d.options.View().Self, Revision: d.options.Holder.Number()}}
	return append(confirmations, d.relay(ctx, push.Revision, push.Relay)...), nil
}

// relay pushes a revision to the targets in parallel and collects their confirmations.
func (d *Distributor) relay(ctx context.Context, message peer.RevisionMessage, targets []peer.Target) []peer.Confirmation {
	return d.pushAll(ctx, message, targets, nil)
}

// pushAll pushes a revision to the targets in parallel and collects the confirmations. The map
// relays holds, for the host of each target, the targets that it has to relay to.
func (d *Distributor) pushAll(ctx context.Context, message peer.RevisionMessage, targets []peer.Target, relays map[string][]peer.Target) []peer.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var mu sync.Mutex // guards all
	var all []peer.Confirmation
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() {
			got, err := d.options.Link.Push(ctx, t.Address, peer.Push{Revision: message, Relay: relays[t.Host]})
			if err != nil {
				// The relaying host can't be reached: push to its targets directly.
				got = d.pushAll(ctx, message, relays[t.Host], nil)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	wait.Wait()
	return all
}

// regionView returns the view restricted to this host's region. A revision found by polling is
// pushed only within the region, because each region has pollers of its own that find it.
func (d *Distributor) regionView() membership.View {
	view := d.options.View()
	self, _ := view.Member(view.Self)
	regional := membership.View{Self: view.Self}
	for _, m := range view.Members {
		if m.Region == self.Region {
			regional.Members = append(regional.Members, m)
		}
	}
	return regional
}

// PushToAll pushes a revision to all other hosts: directly to those in this host's data hall, and
// to one host in each other data hall, which relays it there.
func (d *Distributor) PushToAll(ctx context.Context, r Revision) []peer.Confirmation {
	return d.pushTo(ctx, r, d.options.View())
}

func (d *Distributor) pushTo(ctx context.Context, r Revision, view membership.View) []peer.Confirmation {
	message, err := encodeRevision(r)
	if err != nil {
		return nil
	}
	targets, relays := pushTree(view)
	confirmations := []peer.Confirmation{{Host: view.Self, Revision: d.options.Holder.Number()}}
	return append(confirmations, d.pushAll(ctx, message, targets, relays)...)
}

// pushTree returns the targets to push to directly and, for the host of each, the targets that it
// relays to.
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

// InForce reports which hosts have a revision in force.
type InForce struct {
	Revision  int64    `json:"revision"`
	Confirmed []string `json:"confirmed"`         // hosts that have it or a higher one in force
	Lagging   []string `json:"lagging,omitempty"` // members that have not confirmed it
}

// Everywhere reports whether every member has confirmed the revision.
func (f InForce) Everywhere() bool { return len(f.Lagging) == 0 }

// AwaitInForce pushes a revision repeatedly until every member has confirmed it or the context
// ends, and returns which hosts have confirmed it.
func (d *Distributor) AwaitInForce(ctx context.Context, r Revision) InForce {
	confirmed := map[string]bool{}
	for {
		for _, c := range d.PushToAll(ctx, r) {
			if c.Revision >= r.Number {
				confirmed[c.Host] = true
			}
		}
		state := newInForce(r.Number, d.options.View(), confirmed)
		if state.Everywhere() || !clock.Sleep(ctx, confirmInterval) {
			return state
		}
	}
}

// newInForce sorts the members into those that have confirmed and those that have not. A suspected
// host counts as a member until the platform's list drops it, because it may still serve callers.
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
