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

// QueryHosts is the subject of a query for the list of hosts. Its id is the hash
// of the list that the asker has; a reply without data says that it is the same.
const QueryHosts = "hosts"

// readersPerRegion is how many hosts of a region read the platform's list.
const readersPerRegion = 2

// maxHostsWithoutReaders is a count of hosts up to which each reads the list itself.
const maxHostsWithoutReaders = 12

// peerListTimeout bounds asking another host for the list.
const peerListTimeout = time.Second

// listReaders are the hosts of this host's region that read the platform's list;
// none when this host is one, or when there are few hosts.
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

// readFromPeer gets the list from one of the region's readers; false if this
// host has to read it itself.
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

// listHash names a list by its content.
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

// HandleListQuery answers another host that asks for the list.
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
