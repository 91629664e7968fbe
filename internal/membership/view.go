// Package membership knows which hosts of the router are live, draining or
// suspected, from the platform's lagging list and from pings of its own.
//
// # Usage
//
//	m := membership.New(options)
//	go m.Run(ctx)
//	...
//	owner := m.View().Owner("sweep-bills")
//
// A host watches a few others, and spends a fixed number of pings a second on
// them, so that neither grows with the number of hosts.
// Nothing here is agreed: two hosts may differ for a while. What needs one
// owner is guarded by a lease besides.
package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/peer"
)

// State is what this host believes of another.
type State string

// States of a member.
const (
	StateLive     State = "live"
	StateDraining State = "draining"
	StateSuspect  State = "suspect" // watched, and its pings fail
)

// Member is a host as this host sees it.
type Member struct {
	Host     string
	DataHall string
	Region   string
	Address  string // for peers
	State    State
	Status   peer.Status // the last one heard; zero if none
}

// View is an immutable picture of all members, sorted by host.
type View struct {
	Self    string
	Members []Member
}

// Member finds a host.
func (v View) Member(host string) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// Live returns the members that may be given duties, self included.
func (v View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == StateLive {
			live = append(live, m)
		}
	}
	return live
}

// ReachableOthers returns the members that are not suspected, without self. A draining
// host still answers, so it is among them.
func (v View) ReachableOthers() []Member {
	others := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Host != v.Self && m.State != StateSuspect {
			others = append(others, m)
		}
	}
	return others
}

// Owner picks the host for a duty by rendezvous hashing over the live members.
func (v View) Owner(duty string) string {
	ranked := Rank(v.Live(), duty)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Host
}

// Rank orders members by their rendezvous weight for a key, highest first.
func Rank(members []Member, key string) []Member {
	ranked := append([]Member(nil), members...)
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.Host] = weight(m.Host, key)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weights[ranked[i].Host], weights[ranked[j].Host]
		if a != b {
			return a > b
		}
		return ranked[i].Host < ranked[j].Host
	})
	return ranked
}

// weight mixes a host and a key.
func weight(host, key string) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// ByDataHall groups members by data hall.
func ByDataHall(members []Member) map[string][]Member {
	halls := map[string][]Member{}
	for _, m := range members {
		halls[m.DataHall] = append(halls[m.DataHall], m)
	}
	return halls
}

// pingTargetsPerHall is how many hosts of its own data hall a host watches.
const pingTargetsPerHall = 6

// PingTargets returns the members that self pings: the next few of its own data
// hall, one of every other data hall of its region, and one of every other
// region. So the count does not grow with the hosts, and a change of
// configuration still reaches every host by pings alone.
func (v View) PingTargets() []Member {
	self, ok := v.Member(v.Self)
	if !ok {
		return v.ReachableOthers()
	}
	var hall []Member
	halls, regions := map[string][]Member{}, map[string][]Member{}
	for _, m := range v.Members {
		switch {
		case m.DataHall == self.DataHall:
			hall = append(hall, m)
		case m.Region == self.Region:
			halls[m.DataHall] = append(halls[m.DataHall], m)
		default:
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	targets := successors(hall, v.Self, pingTargetsPerHall)
	for _, group := range []map[string][]Member{halls, regions} {
		for _, members := range group {
			targets = append(targets, Rank(members, v.Self)[0])
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Host < targets[j].Host })
	return targets
}

// successors returns the members after self, in a ring by host.
func successors(members []Member, self string, count int) []Member {
	selfIndex := 0
	for i, m := range members {
		if m.Host == self {
			selfIndex = i
		}
	}
	var next []Member
	for n := 1; n < len(members) && len(next) < count; n++ {
		next = append(next, members[(selfIndex+n)%len(members)])
	}
	return next
}
