package settings

import (
	"fmt"
	"net"
	"time"
)

// Gateway is what a host needs to serve routed requests.
type Gateway struct {
	// Callers is the address, ip:port, for routed requests; empty serves none.
	Callers string `yaml:"callers"`
	// Ready is the address, ip:port, that tells whether the host is ready.
	Ready string `yaml:"ready"`
	// Control is the address, ip:port, for metrics and operators' tools.
	Control string `yaml:"control"`
	// Peers is the address, ip:port, for the other hosts, which pass on what they
	// read from the store.
	Peers string `yaml:"peers"`
	// Seeds are addresses, ip:port, of hosts that may be asked while the store is
	// away; only the IP numbers count, since all hosts' ports are the same.
	Seeds []string `yaml:"seeds"`
	// Store is the address, ip:port, of the platform's table store.
	Store string `yaml:"store"`
	// MemoryMB is the memory that the host may use, in MB.
	MemoryMB int `yaml:"memory_mb"`
	// RetryRatio is the most repeats of requests, as a part of first sends, that
	// all hosts together may make.
	RetryRatio float64 `yaml:"retry_ratio"`
	// Exposure is the most that a new version which turns out bad may get of a service's
	// requests during its upgrade, as a part of them; 0 takes 0.15.
	Exposure float64 `yaml:"exposure"`
	// InForce is the time in which a configuration has to be in force after its
	// acknowledgement.
	InForce time.Duration `yaml:"in_force"`
	// Leaving is the time after which an endpoint that is leaving gets nothing new.
	Leaving time.Duration `yaml:"leaving"`
	// Cores is what the host may use of a processor, in cores; hosts with most of
	// it read the store for the others.
	Cores float64 `yaml:"cores"`
	// First tells that all hosts start for the first time.
	First bool `yaml:"first"`
	// ColdOvershoot is how many times what a cold endpoint bears it may get in a second,
	// from all hosts together; 0 takes 1.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	// ColdSlack is how many requests it may get in a second beyond that.
	ColdSlack float64 `yaml:"cold_slack"`
	// Halls are the regions of all data halls, by hall; an endpoint in any other is not
	// used. None are known where it is empty.
	Halls map[string]string `yaml:"halls"`
	// Duties is the address, ip:port, of the platform's service for what one host does for
	// all; empty where there are no such duties.
	Duties string `yaml:"duties"`
	// DutyTurns is the time in which hosts must not do a duty in turns.
	DutyTurns time.Duration `yaml:"duty_turns"`
	// UsageWindow is the length of the windows in which usage is reported; 0 reports none.
	UsageWindow time.Duration `yaml:"usage_window"`
	// Grace is how long after the order to stop the host is ended by force.
	Grace time.Duration `yaml:"grace"`
}

// MaxStoreLag is the time in which what the store says has to be followed.
func (g Gateway) MaxStoreLag() time.Duration { return min(g.InForce, g.Leaving) }

// ColdRateLimit is how many requests a second a cold endpoint may get that bears so many.
func (g Gateway) ColdRateLimit(declaredRate float64) float64 {
	if declaredRate <= 0 {
		return 0
	}
	overshoot := g.ColdOvershoot
	if overshoot == 0 {
		overshoot = 1
	}
	return declaredRate*overshoot + g.ColdSlack
}

// SeedPeers are the addresses at which the seeds serve other hosts.
func (g Gateway) SeedPeers() []string {
	_, port, _ := net.SplitHostPort(g.Peers)
	var peers []string
	for _, seed := range g.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		peers = append(peers, net.JoinHostPort(host, port))
	}
	return peers
}

// Enabled reports whether the host serves routed requests.
func (g Gateway) Enabled() bool { return g.Callers != "" }

// check returns every problem of the gateway's settings.
func (g Gateway) check() []problem {
	var problems []problem
	for _, a := range []struct{ field, value string }{
		{"$.gateway.callers", g.Callers}, {"$.gateway.ready", g.Ready},
		{"$.gateway.control", g.Control}, {"$.gateway.peers", g.Peers}, {"$.gateway.store", g.Store},
	} {
		if !isAddress(a.value) {
			problems = append(problems, problem{a.field, fmt.Sprintf("%q is not an address: write ip:port, such as 10.0.0.7:7100", a.value)})
		}
	}
	for i, seed := range g.Seeds {
		if !isAddress(seed) {
			problems = append(problems, problem{fmt.Sprintf("$.gateway.seeds[%d]", i), fmt.Sprintf("%q is not an address: write ip:port", seed)})
		}
	}
	for _, n := range []struct {
		field string
		value float64
	}{
		{"$.gateway.memory_mb", float64(g.MemoryMB)}, {"$.gateway.retry_ratio", g.RetryRatio}, {"$.gateway.grace", float64(g.Grace)},
		{"$.gateway.in_force", float64(g.InForce)}, {"$.gateway.leaving", float64(g.Leaving)}, {"$.gateway.cores", g.Cores},
	} {
		if n.value <= 0 {
			problems = append(problems, problem{n.field, "must be more than 0"})
		}
	}
	if g.Duties != "" && !isAddress(g.Duties) {
		problems = append(problems, problem{"$.gateway.duties", fmt.Sprintf("%q is not an address: write ip:port", g.Duties)})
	}
	if g.Duties != "" && g.DutyTurns <= 0 {
		problems = append(problems, problem{"$.gateway.duty_turns", "must be more than 0 where there are duties"})
	}
	if g.UsageWindow < 0 {
		problems = append(problems, problem{"$.gateway.usage_window", "must not be less than 0"})
	}
	if g.Exposure < 0 || g.Exposure > 1 {
		problems = append(problems, problem{"$.gateway.exposure", "must be from 0 to 1"})
	}
	if g.ColdOvershoot < 0 {
		problems = append(problems, problem{"$.gateway.cold_overshoot", "must not be less than 0"})
	}
	if g.ColdSlack < 0 {
		problems = append(problems, problem{"$.gateway.cold_slack", "must not be less than 0"})
	}
	return problems
}
