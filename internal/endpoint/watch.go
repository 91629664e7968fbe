// Package endpoint tracks the endpoints of the OpenAI interface. It reads the platform's list
// of hosts and the load reports of the engines, and applies both to the fleet that requests
// are dispatched through.
//
// # Usage
//
//	w := endpoint.NewWatch(options)
//	go w.Run(ctx)
//
// The list shows which endpoints exist and which are leaving; an engine's own report shows
// sooner that it is leaving. A host watches only a bounded subset of the engines, so that the
// number of reports it fetches doesn't grow with the fleet.
package endpoint

import (
	"math"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/store"
)

// EngineService is the service name of all engines in the fleet. Plain services have their own
// names, which are never empty.
const EngineService = ""

// DefaultSubset is the default for the maximum number of engines that a host watches.
const DefaultSubset = 32

// maxEjection is the longest ejection of a failing engine. It is long because a broken engine
// may stay listed for a long time.
const maxEjection = time.Minute

// Options configure a Watch.
type Options struct {
	Host   string
	Hall   string
	Subset int // 0 means DefaultSubset
	Period time.Duration
	// List returns the platform's host list as last read.
	List func() []store.Host
	// CountHosts returns the number of live hosts of the router; nil means one.
	CountHosts func() int
	// Fetch fetches the load report of an engine.
	Fetch Fetcher
}

// Watch keeps the fleet of a host up to date.
type Watch struct {
	options     Options
	fleet       *fleet.Fleet
	engineShare atomic.Uint64 // Float64bits of the fraction of all engines that the host watches
}

// NewWatch returns a Watch with an empty fleet.
func NewWatch(options Options) *Watch {
	if options.Subset == 0 {
		options.Subset = DefaultSubset
	}
	w := &Watch{options: options}
	w.fleet = fleet.New(fleet.Options{Hall: options.Hall, SendingHosts: w.sendingHosts, MaxEjection: maxEjection})
	return w
}

// Fleet returns the fleet that the watch keeps up to date.
func (w *Watch) Fleet() *fleet.Fleet { return w.fleet }

// Sync applies the platform's host list to the fleet.
func (w *Watch) Sync() {
	all := w.options.List()
	hosts := Subset(all, w.options.Host, w.options.Hall, w.options.Subset)
	w.engineShare.Store(math.Float64bits(float64(engineCount(hosts)) / float64(max(engineCount(all), 1))))
	list := make([]fleet.Endpoint, len(hosts))
	for i, h := range hosts {
		list[i] = fleet.Endpoint{
			ID: h.ID, Service: h.Service, Address: h.Address, Hall: h.DataHall, Draining: h.State != store.HostLive,
		}
	}
	w.fleet.Reset(list, false)
}

func engineCount(hosts []store.Host) int {
	count := 0
	for _, h := range hosts {
		if h.Kind == store.HostEngine {
			count++
		}
	}
	return count
}

// sendingHosts returns the number of hosts, including this one, that send to an endpoint of a
// service. For engines it is an estimate: the live hosts times the fraction that each watches.
func (w *Watch) sendingHosts(service string) int {
	if w.options.CountHosts == nil {
		return 1
	}
	if service != EngineService {
		return w.options.CountHosts()
	}
	return max(int(math.Round(float64(w.options.CountHosts())*math.Float64frombits(w.engineShare.Load()))), 1)
}

// Subset selects the endpoints that a host watches: all plain services and at most limit
// engines. At least half of the engines are in the host's own data hall if it has that many.
// Engines are ranked by rendezvous hashing, so that the hosts spread evenly over them.
func Subset(hosts []store.Host, self, hall string, limit int) []store.Host {
	var selected, near, far []store.Host
	for _, h := range hosts {
		switch {
		case h.Kind == store.HostService:
			selected = append(selected, h)
		case h.Kind != store.HostEngine:
		case h.DataHall == hall:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near)+len(far) <= limit {
		return append(append(selected, near...), far...)
	}
	sortByWeight(near, self)
	sortByWeight(far, self)
	nearCount := min(len(near), max(limit/2, limit-len(far)))
	selected = append(selected, near[:nearCount]...)
	return append(selected, far[:limit-nearCount]...)
}

func sortByWeight(hosts []store.Host, self string) {
	sort.Slice(hosts, func(i, j int) bool {
		return xxhash.Sum64String(self+"\x00"+hosts[i].ID) > xxhash.Sum64String(self+"\x00"+hosts[j].ID)
	})
}
