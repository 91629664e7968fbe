package settings

import (
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"time"
)

// Gateway holds the settings of a host that serves routed requests.
type Gateway struct {
	// Callers is the address, ip:port, for routed requests; if empty, none are served.
	Callers string `yaml:"callers"`
	// Ready is the address, ip:port, of the readiness probe.
	Ready string `yaml:"ready"`
	// Control is the address, ip:port, for metrics and operators' tools.
	Control string `yaml:"control"`
	// Peers is the address, ip:port, for the other hosts; hosts forward to each other
	// what they read from the store.
	Peers string `yaml:"peers"`
	// Seeds are addresses, ip:port, of hosts that may be asked while the store is
	// unavailable; only the IP addresses are used, since all hosts have the same ports.
	Seeds []string `yaml:"seeds"`
	// Store is the address, ip:port, of the platform's table store.
	Store string `yaml:"store"`
	// MemoryMB is the memory that the host may use, in MB.
	MemoryMB int `yaml:"memory_mb"`
	// RetryRatio is the highest ratio of retries to first attempts that all hosts
	// together may reach.
	RetryRatio float64 `yaml:"retry_ratio"`
	// Exposure is the largest fraction of a service's requests that a new version which
	// turns out bad may receive during its upgrade; 0 means 0.15.
	Exposure float64 `yaml:"exposure"`
	// InForce is the time within which a configuration has to be in force after its
	// acknowledgement.
	InForce time.Duration `yaml:"in_force"`
	// Leaving is the time after which an endpoint that is leaving gets no new requests.
	Leaving time.Duration `yaml:"leaving"`
	// Cores is the CPU that the host may use, in cores; the hosts with the most cores
	// read the store for the others.
	Cores float64 `yaml:"cores"`
	// First is true if all hosts start for the first time.
	First bool `yaml:"first"`
	// ColdOvershoot multiplies the request rate declared for a cold endpoint to give the
	// highest rate that it may get from all hosts together; 0 means 1.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	// ColdSlack is the number of requests per second that a cold endpoint may get beyond that.
	ColdSlack float64 `yaml:"cold_slack"`
	// Halls maps each data hall to its region; an endpoint in any other hall is not
	// used. If empty, the halls are not known.
	Halls map[string]string `yaml:"halls"`
	// Duties is the address, ip:port, of the platform's service for the duties that one host
	// performs for all; empty if there are none.
	Duties string `yaml:"duties"`
	// DutyTurns is the time within which hosts must not perform a duty alternately.
	DutyTurns time.Duration `yaml:"duty_turns"`
	// UsageWindow is the length of the windows for which usage is reported; 0 means no reports.
	UsageWindow time.Duration `yaml:"usage_window"`
	// Shares tells whether the capacity of endpoints is divided among workspaces while it is short:
	// auto, on or off. Empty means auto: it is where the configuration lets one workspace fill an engine.
	Shares string `yaml:"shares"`
	// Weights maps names of workspaces to their weights, above 0, in the division of capacity; a
	// workspace that is not listed has weight 1.
	Weights map[string]float64 `yaml:"weights"`
	// Grace is the time after the stop signal at which the platform kills the host.
	Grace time.Duration `yaml:"grace"`
}

// MaxStoreLag returns the time within which the host has to apply changes of the store.
func (g Gateway) MaxStoreLag() time.Duration { return min(g.InForce, g.Leaving) }

// ColdRateLimit returns the requests per second that a cold endpoint may get for which operators declare
// declaredRate.
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

// SeedPeers returns the addresses at which the seeds serve other hosts.
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

// check returns all problems of the gateway's settings.
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
	return append(problems, g.checkShares()...)
}

// Values of Gateway.Shares.
const (
	SharesAuto = "auto"
	SharesOn   = "on"
	SharesOff  = "off"
)

// defaultWeight is the weight of a workspace that is not listed.
const defaultWeight = 1

// SharesCapacity reports whether capacity is shared, given whether the configuration calls for it.
func (g Gateway) SharesCapacity(calledFor bool) bool {
	switch g.Shares {
	case SharesOn:
		return true
	case SharesOff:
		return false
	default:
		return calledFor
	}
}

// Weight returns a workspace's weight in the division of capacity.
func (g Gateway) Weight(workspace string) float64 {
	if w, ok := g.Weights[workspace]; ok {
		return w
	}
	return defaultWeight
}

// checkShares returns the problems of the settings that concern the division of capacity.
func (g Gateway) checkShares() []problem {
	var problems []problem
	switch g.Shares {
	case "", SharesAuto, SharesOn, SharesOff:
	default:
		problems = append(problems, problem{"$.gateway.shares", fmt.Sprintf("%q is not known: use auto, on or off", g.Shares)})
	}
	for _, name := range slices.Sorted(maps.Keys(g.Weights)) {
		if w := g.Weights[name]; !(w > 0) || math.IsInf(w, 0) { // also refuses NaN
			problems = append(problems, problem{"$.gateway.weights." + name, "must be a number above 0"})
		}
	}
	return problems
}
