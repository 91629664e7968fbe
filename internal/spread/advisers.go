package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// advising tells which hosts choose endpoints together: all of a region while they are few, since a
// question to another region takes longer than an answer is worth, else those of a data hall.
type advising struct {
	regions map[string]string // by data hall; empty where nothing is known of them
	hosts   map[string]int    // by region
}

func newAdvising(entries map[string]entry, regions map[string]string) advising {
	a := advising{regions: regions, hosts: map[string]int{}}
	for _, e := range entries {
		a.hosts[regions[e.Hall]]++
	}
	return a
}

// circle names the hosts that those of a data hall choose together with.
func (a advising) circle(hall string) string {
	region := a.regions[hall]
	if a.hosts[region] <= togetherMost {
		return region
	}
	return hall
}

// circles counts the groups of hosts that choose together.
func (a advising) circles(entries map[string]entry) int {
	circles := map[string]bool{}
	for _, e := range entries {
		circles[a.circle(e.Hall)] = true
	}
	return len(circles)
}

// around lists the addresses of the hosts that come before and after one of them, of those that it
// chooses with: those that may use more of a processor first.
func (a advising) around(entries map[string]entry, self, hall string) (before, after []string) {
	circle := a.circle(hall)
	var members []peer
	for name, e := range entries {
		if a.circle(e.Hall) == circle {
			members = append(members, peer{name: name, address: e.Address, cores: e.Cores, rank: xxhash.Sum64String(circle + "/" + name)})
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
	return fleet.Choosers{Hosts: w.peers.all, Advisers: max(w.peers.circles, 1)}
}
