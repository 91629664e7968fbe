package spread

import (
	"fmt"
	"testing"

	"quaybarrow/internal/fleet"
)

// hostsAcrossHalls returns hosts that are assigned to data halls in turn.
func hostsAcrossHalls(hosts, halls int) map[string]entry {
	entries := map[string]entry{}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		entries[name] = entry{Address: name, Hall: fmt.Sprint("hall-", i%halls), Cores: 0.2}
	}
	return entries
}

func TestWhoChoosesEndpoints(t *testing.T) {
	cases := map[string]struct {
		hosts, halls int
		leaders      int
		want         fleet.Choosers
		regions      map[string]string
	}{
		"no list yet":                      {0, 0, 0, fleet.Choosers{Advisers: 1}, nil},
		"a small deployment":               {6, 3, 1, fleet.Choosers{Hosts: 6, Advisers: 1}, nil},
		"the largest group of one advisor": {128, 4, 1, fleet.Choosers{Hosts: 128, Advisers: 1}, nil},
		"a large deployment":               {295, 5, 5, fleet.Choosers{Hosts: 295, Advisers: 5}, nil},
		"one region":                       {90, 3, 1, fleet.Choosers{Hosts: 90, Advisers: 1}, map[string]string{"hall-0": "r", "hall-1": "r", "hall-2": "r"}},
		"a region each":                    {90, 3, 3, fleet.Choosers{Hosts: 90, Advisers: 3}, map[string]string{"hall-0": "r", "hall-1": "s", "hall-2": "t"}},
		"two regions, one large":           {300, 2, 2, fleet.Choosers{Hosts: 300, Advisers: 2}, map[string]string{"hall-0": "r", "hall-1": "s"}},
	}
	for name, c := range cases {
		entries := hostsAcrossHalls(c.hosts, c.halls)
		leaders := 0
		for self, e := range entries {
			p := newPeers(Options{Host: self, Hall: e.Hall, Address: e.Address, Regions: c.regions})
			if w := (&Watcher{peers: p}); w.Leads() {
				t.Fatalf("%s: %s leads before it knows any host", name, self)
			}
			p.set(entries)
			w := &Watcher{peers: p}
			if got := w.Choosers(); got != c.want {
				t.Fatalf("%s: %+v, not %+v", name, got, c.want)
			}
			if w.Leads() {
				leaders++
			}
		}
		if leaders != c.leaders {
			t.Errorf("%s: %d hosts lead, not %d", name, leaders, c.leaders)
		}
	}
}

func TestUnlistedHostDoesNotLead(t *testing.T) {
	p := newPeers(Options{Host: "new", Hall: "hall-0", Address: "new"})
	p.set(hostsAcrossHalls(6, 3))
	if w := (&Watcher{peers: p}); w.Leads() {
		t.Error("an unlisted host leads, beside the leader of the listed hosts")
	}
}

func TestRing(t *testing.T) {
	entries := hostsAcrossHalls(61, 3)
	next := map[string]string{}
	crossings := 0
	for self, e := range entries {
		p := newPeers(Options{Host: self, Hall: e.Hall, Address: e.Address})
		p.set(entries)
		w := &Watcher{peers: p, options: Options{Host: self, Hall: e.Hall}}
		members := w.Members()
		if len(members) != len(entries)-1 {
			t.Fatalf("%s has %d members in its ring of %d hosts", self, len(members), len(entries))
		}
		next[self] = members[0].Name
		if entries[members[0].Name].Hall != e.Hall {
			crossings++
		}
	}
	at, seen := "h000", map[string]bool{}
	for !seen[at] {
		seen[at] = true
		at = next[at]
	}
	if len(seen) != len(entries) {
		t.Errorf("the ring visits %d of %d hosts", len(seen), len(entries))
	}
	if crossings != 3 {
		t.Errorf("%d hosts are followed by a host of another data hall, want one for each of 3 halls", crossings)
	}
}
