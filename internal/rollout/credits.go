package rollout

import (
	"sync"

	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/peer"
)

// Credits are what this host may still answer with versions in roll-out.
type Credits struct {
	config *config.Holder

	mu    sync.Mutex // guards plans
	plans map[string]planCredits
}

// planCredits are the credits of one plan.
type planCredits struct {
	epoch  int64
	serial int64 // of the last grant taken in
	left   int   // below 0 when pinned sessions took more
}

// NewCredits returns no credits.
func NewCredits(holder *config.Holder) *Credits {
	return &Credits{config: holder, plans: map[string]planCredits{}}
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
	p.left += g.Credits
	c.plans[g.Plan] = p
}

// plan finds the running plan of a version.
func (c *Credits) plan(ref declare.Ref) (string, bool) {
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
func (c *Credits) Available(ref declare.Ref) bool {
	name, ok := c.plan(ref)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[name].left > 0
}

// Spend takes a credit. A pinned session goes on even if none is left.
func (c *Credits) Spend(ref declare.Ref) {
	name, ok := c.plan(ref)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plans[name]
	p.left--
	c.plans[name] = p
}

// Left returns the credits left for a version.
func (c *Credits) Left(ref declare.Ref) int {
	name, ok := c.plan(ref)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[name].left
}
