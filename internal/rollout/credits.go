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

// TableFailingHosts is the table with a row for each version and host on which it fails.
const TableFailingHosts = "trouble"

// maxConsecutiveFailures is the number of consecutive failures after which a host stops using
// a version in rollout, whatever other hosts observe.
const maxConsecutiveFailures = 3

// failingHostWriteTimeout limits the write of a failing-host row.
const failingHostWriteTimeout = 2 * time.Second

// creditValidityFraction is the fraction of the rating timeout during which a host may use a
// credit. The controller waits for the whole timeout before it expires the credit.
const creditValidityFraction = 0.8

// Credits are the answers that this host may still give with versions in rollout.
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
	serial              int64 // of the last accepted grant
	batches             []creditBatch
	consecutiveFailures int  // since the last success
	stopped             bool // after too many consecutive failures
}

// creditBatch holds the unspent credits of a grant until they expire.
type creditBatch struct {
	left    int
	expires clock.Instant
}

// left returns the number of credits that can be spent at the given time.
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

// spend uses one credit of the oldest valid batch and removes spent and expired batches.
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

// NewCredits returns an empty set of credits.
func NewCredits(holder *config.Holder, tables store.Tables, host string) *Credits {
	return &Credits{config: holder, tables: tables, host: host, plans: map[string]planCredits{}}
}

// Grant adds the credits of a grant. It ignores duplicates and grants of an older controller.
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

// activeGrantName returns the grant name of the version's plan, and whether there is a plan that
// is not on hold.
func (c *Credits) activeGrantName(ref declare.Ref) (string, bool) {
	snapshot := c.config.Current()
	if snapshot == nil {
		return "", false
	}
	p, ok := snapshot.Revision().Declarations.PlanFor(ref)
	return grantName(p.Name, p.Version), ok && !p.Held
}

// grantName identifies the credits of a plan for one version. A plan that is redeclared for
// another version starts without credits.
func grantName(plan, version string) string { return plan + "=" + version }

// Available reports whether a credit is left for a version.
func (c *Credits) Available(ref declare.Ref) bool { return c.Left(ref) > 0 }

// Left returns the number of credits left for a version.
func (c *Credits) Left(ref declare.Ref) int {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[name].left(clock.Now())
}

// Spend uses one credit if any is left. A pinned session continues even without credits.
func (c *Credits) Spend(ref declare.Ref) {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[name] = c.plans[name].spend(clock.Now())
}

// Report records whether an attempt on a version in rollout failed. After
// maxConsecutiveFailures, this host stops using the version and reports that it fails to the
// plan's controller.
func (c *Credits) Report(ctx context.Context, ref declare.Ref, failed bool) {
	name, ok := c.activeGrantName(ref)
	if !ok {
		return
	}
	if c.countFailure(name, failed) {
		_ = c.writeFailingHost(ctx, ref) // if this fails, at worst the window's credits expire unused
	}
}

// countFailure counts consecutive failures. It returns true when they reach the limit for the
// first time.
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

// failingHostPrefix returns the key prefix of a version's rows in TableFailingHosts.
func failingHostPrefix(version string) string { return version + "/" }

// failingHost is a row of TableFailingHosts.
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
		return fmt.Errorf("write failing host: %w", err)
	}
	return nil
}
