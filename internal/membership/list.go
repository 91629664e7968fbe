package membership

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/store"
)

// QueryHosts is the subject of a query for the platform's host list. The query's ID is the hash
// of the list that the sender has; a reply without data means that the list is unchanged.
const QueryHosts = "hosts"

// readersPerRegion is the number of hosts in each region that read the list from the platform.
const readersPerRegion = 2

// maxHostsWithoutReaders is the largest number of hosts at which every host reads the list from the
// platform itself.
const maxHostsWithoutReaders = 12

// peerListTimeout bounds the attempt to get the list from other hosts.
const peerListTimeout = time.Second

// listReaders returns the hosts in this host's region that read the list from the platform. It
// returns none if this host is one of them, or if there are at most maxHostsWithoutReaders hosts.
func (m *Membership) listReaders() []Member {
	view := m.View()
	if len(view.Members) <= maxHostsWithoutReaders {
		return nil
	}
	self, _ := view.Member(view.Self)
	var region []Member
	for _, member := range view.Live() {
		if member.Region == self.Region {
			region = append(region, member)
		}
	}
	ranked := Rank(region, "list-reader/"+self.Region)
	readers := ranked[:min(readersPerRegion, len(ranked))]
	for _, r := range readers {
		if r.Host == view.Self {
			return nil
		}
	}
	return readers
}

// readFromPeer gets the list from one of the region's readers. It returns false if this host has to
// read the list from the platform.
func (m *Membership) readFromPeer(ctx context.Context) ([]store.Host, bool) {
	m.mu.Lock()
	current := m.allListed
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerListTimeout)
	defer cancel()
	for _, r := range m.listReaders() {
		reply, err := m.options.Link.Show(ctx, r.Address, peer.Query{Subject: QueryHosts, ID: listHash(current)})
		if err != nil {
			continue
		}
		if len(reply.Data) == 0 {
			return current, true
		}
		hosts, err := codec.Decode[[]store.Host](reply.Data)
		if err == nil {
			return hosts, true
		}
	}
	return nil, false
}

// listHash returns a hash of a list's content.
func listHash(hosts []store.Host) string {
	var d xxhash.Digest
	for _, h := range hosts {
		for _, part := range []string{h.ID, h.Address, string(h.State), h.DataHall, h.Service} {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
		}
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// HandleListQuery answers another host's QueryHosts query; knownHash is the hash of the list which
// that host has.
func (m *Membership) HandleListQuery(knownHash string) (peer.Reply, error) {
	m.mu.Lock()
	hosts := m.allListed
	m.mu.Unlock()
	if len(hosts) == 0 {
		return peer.Reply{}, peer.ErrRefused
	}
	if listHash(hosts) == knownHash {
		return peer.Reply{}, nil
	}
	data, err := codec.Encode(hosts)
	return peer.Reply{Data: data}, err
}
