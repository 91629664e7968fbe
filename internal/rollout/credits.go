package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/store"
)

// TableFailingHosts holds a row for each host on which a version fails.
const TableFailingHosts = "trouble"

// maxConsecutiveFailures is how many failures in a row make a host stop using a version
// in roll-out, on its own evidence.
const maxConsecutiveFailures = 3

// failingHostWriteTimeout bounds writing a trouble row.
const failingHostWriteTimeout = 2 * time.Second

// creditValidityFraction is the part of a rating timeout for which a host may use a credit;
// the controller waits for the whole of it.
const creditValidityFraction = 0.8

// Credits are what this host may still answer with versions in roll-out.
type Credits struct {
	config *config.Holder
	tables store.Tables
	host   string

	mu    sync.Mutex // guards plans
	plans map[string]planCredits
}

// planCredits are the credits of one plan.
type planCredits struct {
	epoch               int64
	serial              int64 // of the last grant taken in
	batches             []creditBatch
	consecutiveFailures int  // in a row
	stopped             bool // by failures in a row
}

// creditBatch is a grant, until it is spent or expires.
type creditBatch struct {
	left    int
	expires clock.Instant
}

// left counts the credits that can be spent at a moment.
func (p planCredits) left(now clock.Instant) int {
	if p.stopped {
		return 0
	}
	count := 0
	for _, b := range p.batches {
		if now.Before(b.expires) {
			count += b.left
		}
	}
	return count
}

// spend takes a credit, the oldest first, and drops what is used up.
func (p planCredits) spend(now clock.Instant) planCredits {
	spent := false
	var kept []creditBatch
	for _, b := range p.batches {
		if !now.Before(b.expires) {
			continue
		}
		if !spent {
			b.left--
			spent = true
		}
		if b.left > 0 {
			kept = append(kept, b)
		}
	}
	p.batches = kept
	return p
}

// NewCredits returns no credits.
func NewCredits(holder *config.Holder, tables store.Tables, host string) *Credits {
	return &Credits{config: holder, tables: tables, host: host, plans: map[string]planCredits{}}
}

// Grant takes in credits, each grant once, and none of an older controller.
func (c *Credits) Grant(g peer.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plans[g.Plan]
	if g.Epoch < p.epoch || g.Serial <= p.serial {
		return
	}
	p.epoch, p.serial = g.Epoch, g.Serial
	valid := time.Duration(float64(g.Timeout) * creditValidityFraction)
	p.batches = append(p.batches, creditBatch{left: g.Credits, expires: clock.Now().Add(valid)})
	c.plans[g.Plan] = p
}

// activeGrantName finds the running activeGrantName of a version.
func (c *Credits) activeGrantName(ref declare.Ref) (string, bool) {
	snapshot := c.config.Current()
	if snapshot == nil {
		return "", false
	}
	p, ok := snapshot.Revision().Declarations.PlanFor(ref)
	return grantName(p.Name, p.Version), ok && !p.Held
}

// grantName names the credits of a plan for one version: a plan that is declared
// anew for another version starts without any.
func grantName(plan, version string) string { return plan + "=" + version }

// Available reports whether a credit for the version is left.
func (c *Credits) Available(ref declare.Ref) bool { return c.Left(ref) > 0 }

// Left returns the credits left for a version.
func (c *Credits) Left(ref declare.Ref) int {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[name].left(clock.Now())
}

// Spend takes a credit. A pinned session goes on even if none is left.
func (c *Credits) Spend(ref declare.Ref) {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[name] = c.plans[name].spend(clock.Now())
}

// Report tells how an attempt on a version in roll-out went. After a few failures
// in a row this host uses it no more, and tells the plan's controller why.
func (c *Credits) Report(ctx context.Context, ref declare.Ref, failed bool) {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return
	}
	if c.countFailure(name, failed) {
		_ = c.writeFailingHost(ctx, ref) // at worst the window's credits expire unused
	}
}

// countFailure counts failures in a row; true when they have just become too many.
func (c *Credits) countFailure(name string, failed bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plans[name]
	p.consecutiveFailures++
	if !failed {
		p.consecutiveFailures = 0
	}
	mustStop := p.consecutiveFailures >= maxConsecutiveFailures && !p.stopped
	p.stopped = p.stopped || mustStop
	c.plans[name] = p
	return mustStop
}

// failingHostPrefix is where a version's troubles stand.
func failingHostPrefix(version string) string { return version + "/" }

// failingHost is a row of TableTroubles.
type failingHost struct {
	Host string    `json:"host"`
	At   time.Time `json:"at"`
}

func (c *Credits) writeFailingHost(ctx context.Context, ref declare.Ref) error {
	data, err := codec.Encode(failingHost{Host: c.host, At: time.Now().UTC()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), failingHostWriteTimeout)
	defer cancel()
	err = c.tables.Commit(ctx, store.Transaction{
		Writes: []store.Write{store.Put(TableFailingHosts, failingHostPrefix(ref.String())+c.host, data)},
	})
	if err != nil {
		return fmt.Errorf("write trouble: %w", err)
	}
	return nil
}
