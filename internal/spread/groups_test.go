package spread

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// hostsInHalls returns hosts in data halls; the first ones of each hall may use more of a
// processor.
func hostsInHalls(halls, each, larger int) map[string]entry {
	entries := map[string]entry{}
	for h := range halls {
		for i := range each {
			e := entry{Address: fmt.Sprintf("10.%d.%d.%d:7340", h, i/250, i%250), Hall: fmt.Sprint("hall-", h), Cores: 0.192}
			if i < larger {
				e.Cores = 0.8
			}
			entries[fmt.Sprintf("front-%d-%d", h, i)] = e
		}
	}
	return entries
}

// readersOf returns the hosts that read the store for others, which come first in the order of some
// host, with the number of hosts that each reads for. In large deployments it samples some hundreds
// of hosts.
func readersOf(entries map[string]entry) map[string]int {
	readers := map[string]int{}
	step, i := max(1, len(entries)/sampledHosts), 0
	for name, e := range entries {
		if i++; i%step == 0 {
			readers[askOrder(entries, name, e.Hall)[0].name] += step
		}
	}
	return readers
}

// sampledHosts is about how many hosts of a large deployment are sampled.
const sampledHosts = 500

// deployments lists deployments with the maximum number of hosts that may read the store.
var deployments = map[string]struct {
	entries map[string]entry
	readers int
}{
	"6 equal hosts":                 {hostsInHalls(3, 2, 0), 1},
	"91 hosts, some larger":         {hostsInHalls(3, 30, 2), 1},
	"295 hosts, some larger":        {hostsInHalls(5, 59, 5), 5},
	"985 hosts, some larger":        {hostsInHalls(5, 197, 10), 5},
	"2,000 hosts, some larger":      {hostsInHalls(5, 400, 20), 10},
	"985 hosts, none larger":        {hostsInHalls(5, 197, 0), 20},
	"300 hosts of small data halls": {hostsInHalls(15, 20, 1), 2},
}

// maxHostsPerCore is the maximum number of hosts that one reader serves, for each core that it may
// use.
const maxHostsPerCore = 400

func TestReadersByCores(t *testing.T) {
	for name, c := range deployments {
		t.Run(name, func(t *testing.T) {
			readers := readersOf(c.entries)
			if len(readers) > c.readers {
				t.Errorf("%d readers, want at most %d", len(readers), c.readers)
			}
			for reader, hosts := range readers {
				if most := maxHostsPerCore * c.entries[reader].Cores; float64(hosts) > max(most, 1.6*hostsPerReader) {
					t.Errorf("%s reads for %d hosts with %.2f cores", reader, hosts, c.entries[reader].Cores)
				}
			}
		})
	}
}

// unavailableStore is a store whose reads fail.
type unavailableStore struct{ store.Watcher }

func (unavailableStore) Changes(context.Context, string, int64, time.Duration) ([]store.Change, int64, error) {
	return nil, 0, store.ErrUnavailable
}

// maxDirectPause is how long a host that has lost its other sources may go without a read of the
// store.
const maxDirectPause = 6 * time.Second

// TestDirectReadsOfLargeFleets checks that a host whose other sources are lost reads the store
// again soon, at any number of hosts.
func TestDirectReadsOfLargeFleets(t *testing.T) {
	for _, each := range []int{2, 20, 200, 400} {
		w := NewWatcher(Options{Host: "front-0-0", Hall: "hall-0", Store: unavailableStore{}, Logger: log.New(io.Discard)})
		w.peers.set(hostsInHalls(5, each, 0))
		if _, err := w.readDirectly(context.Background(), "t", 1, 0); err == nil {
			t.Fatal("the read succeeded without a store")
		}
		if pause := clock.Until(w.nextDirectRead); pause > maxDirectPause {
			t.Errorf("%d hosts: store is read again only after %s", 5*each, pause)
		}
	}
}
