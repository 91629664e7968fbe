package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// adviserGroups tells which hosts choose endpoints together: all of a region while they are few, since a
// question to another region takes longer than an answer is worth, else those of a data hall.
type adviserGroups struct {
	regions map[string]string // by data hall; empty where nothing is known of them
	hosts   map[string]int    // by region
}

func newAdviserGroups(entries map[string]entry, regions map[string]string) adviserGroups {
	a := adviserGroups{regions: regions, hosts: map[string]int{}}
	for _, e := range entries {
		a.hosts[regions[e.Hall]]++
	}
	return a
}

// groupOf names the hosts that those of a data hall choose together with.
func (a adviserGroups) groupOf(hall string) string {
	region := a.regions[hall]
	if a.hosts[region] <= maxAdvisedRegion {
		return region
	}
	return hall
}

// count counts the groups of hosts that choose together.
func (a adviserGroups) count(entries map[string]entry) int {
	groups := map[string]bool{}
	for _, e := range entries {
		groups[a.groupOf(e.Hall)] = true
	}
	return len(groups)
}

// beforeAndAfter lists the addresses of the hosts that come before and after one of them, of those that it
// chooses with: those that may use more of a processor first.
func (a adviserGroups) beforeAndAfter(entries map[string]entry, self, hall string) (before, after []string) {
	group := a.groupOf(hall)
	var members []peer
	for name, e := range entries {
		if a.groupOf(e.Hall) == group {
			members = append(members, peer{name: name, address: e.Address, cores: e.Cores, rank: xxhash.Sum64String(group + "/" + name)})
		}
	}
	slices.SortFunc(members, byCoresAndRank)
	for i, q := range members {
		if q.name == self {
			for _, q := range members[i+1:] {
				after = append(after, q.address)
			}
			return before, after
		}
		before = append(before, q.address)
	}
	return nil, nil // this host is not listed yet
}

// Choosers counts the hosts that choose endpoints, and those that choose for others.
func (w *Watcher) Choosers() fleet.Choosers {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return fleet.Choosers{Hosts: w.peers.hostCount, Advisers: max(w.peers.adviserGroups, 1)}
}
