// Package membership tracks which hosts of the router are live, draining or suspected to have
// failed. It combines the platform's host list, which lags, with pings between hosts.
//
// # Usage
//
//	m := membership.New(options)
//	go m.Run(ctx)
//	...
//	owner := m.View().Owner("sweep-bills")
//
// A host pings a few other hosts, with a fixed number of pings per second, so that neither number
// grows with the number of hosts.
//
// There is no consensus on membership: the views of two hosts may differ for a while. Work that
// needs a single owner is also guarded by a lease.
package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/peer"
)

// State is the state of a member as this host sees it.
type State string

// The states of a member.
const (
	StateLive     State = "live"
	StateDraining State = "draining"
	StateSuspect  State = "suspect" // pinged by this host, and the pings fail
)

// Member describes a host as this host sees it.
type Member struct {
	Host     string
	DataHall string
	Region   string
	Address  string // where the host listens for peers, ip:port
	State    State
	Status   peer.Status // the last one received; zero if none
}

// View is an immutable snapshot of all members, sorted by host.
type View struct {
	Self    string
	Members []Member
}

// Member returns the member with a host name, and whether there is one.
func (v View) Member(host string) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// Live returns the live members, which may be assigned duties. It includes self.
func (v View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == StateLive {
			live = append(live, m)
		}
	}
	return live
}

// ReachableOthers returns the members other than self that are not suspected. It includes draining
// hosts, which still answer.
func (v View) ReachableOthers() []Member {
	others := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Host != v.Self && m.State != StateSuspect {
			others = append(others, m)
		}
	}
	return others
}

// Owner returns the host that is assigned a duty, chosen by rendezvous hashing over the live members.
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

// weight returns the rendezvous weight of a host for a key.
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

// pingTargetsPerHall is the number of hosts in its own data hall that a host pings.
const pingTargetsPerHall = 6

// PingTargets returns the members that self pings: its next pingTargetsPerHall successors in its own
// data hall, one host in every other data hall of its region, and one host in every other region.
// The count thus does not grow with the number of hosts, and a configuration change still reaches
// every host by pings alone.
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

// successors returns up to count members that follow self in the ring of members ordered by host.
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
