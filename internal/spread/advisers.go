package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// advisorGroups divides hosts into groups that choose endpoints together, each advised by one of
// its hosts. A group is a region while the region has few hosts, and a data hall otherwise. It does
// not span regions, since a request to another region takes longer than its answer is worth. Halls
// without a known region count as one region.
type advisorGroups struct {
	regions map[string]string // by data hall; empty if unknown
	hosts   map[string]int    // number of hosts by region
}

func newAdvisorGroups(entries map[string]entry, regions map[string]string) advisorGroups {
	a := advisorGroups{regions: regions, hosts: map[string]int{}}
	for _, e := range entries {
		a.hosts[regions[e.Hall]]++
	}
	return a
}

// groupOf returns the name of the group of a data hall's hosts.
func (a advisorGroups) groupOf(hall string) string {
	region := a.regions[hall]
	if a.hosts[region] <= maxAdvisedRegion {
		return region
	}
	return hall
}

// count returns the number of groups.
func (a advisorGroups) count(entries map[string]entry) int {
	groups := map[string]bool{}
	for _, e := range entries {
		groups[a.groupOf(e.Hall)] = true
	}
	return len(groups)
}

// beforeAndAfter returns the addresses of the hosts that come before and after self in its group.
// Hosts that may use more of a processor come first.
func (a advisorGroups) beforeAndAfter(entries map[string]entry, self, hall string) (before, after []string) {
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
	return nil, nil // self is not listed yet
}

// Choosers returns the number of hosts that choose endpoints, and of the advisors among them.
func (w *Watcher) Choosers() fleet.Choosers {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return fleet.Choosers{Hosts: w.peers.hostCount, Advisers: max(w.peers.advisorGroups, 1)}
}
