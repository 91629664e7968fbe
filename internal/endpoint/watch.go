// Package endpoint follows the endpoints of the OpenAI interface: the platform's
// list of hosts and the engines' own reports of their load, which it brings to the
// fleet that requests are sent by.
//
// # Usage
//
//	w := endpoint.NewWatch(options)
//	go w.Run(ctx)
//
// The list says which endpoints there are and which are leaving; an engine's own
// report says so sooner. A host watches only a bounded subset of the engines, so
// that its reports do not grow with the fleet.
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

// EngineService is the service of the engines in the fleet; plain services go by their
// own names, and none is empty.
const EngineService = ""

// DefaultSubset is how many engines a host watches at most.
const DefaultSubset = 32

// maxEjection is the longest that an engine is left alone that fails: a broken one may
// stay listed for long.
const maxEjection = time.Minute

// Options set up a Watch.
type Options struct {
	Host   string
	Hall   string
	Subset int // 0 means DefaultSubset
	Period time.Duration
	// List returns the platform's list as last read.
	List func() []store.Host
	// CountHosts counts the live hosts of the router; nil means one.
	CountHosts func() int
	// Fetch reads an engine's load report.
	Fetch Fetcher
}

// Watch brings a host's endpoints to its fleet.
type Watch struct {
	options     Options
	fleet       *fleet.Fleet
	engineShare atomic.Uint64 // bits of the part of all engines that the host watches
}

// NewWatch returns a watch with a fleet that is still empty.
func NewWatch(options Options) *Watch {
	if options.Subset == 0 {
		options.Subset = DefaultSubset
	}
	w := &Watch{options: options}
	w.fleet = fleet.New(fleet.Options{Hall: options.Hall, SendingHosts: w.sendingHosts, MaxEjection: maxEjection})
	return w
}

// Fleet returns the endpoints that the watch keeps up to date.
func (w *Watch) Fleet() *fleet.Fleet { return w.fleet }

// Sync takes in the platform's list.
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

// sendingHosts is how many hosts send to an endpoint of a service, this one included.
func (w *Watch) sendingHosts(service string) int {
	if w.options.CountHosts == nil {
		return 1
	}
	if service != EngineService {
		return w.options.CountHosts()
	}
	return max(int(math.Round(float64(w.options.CountHosts())*math.Float64frombits(w.engineShare.Load()))), 1)
}

// Subset picks the endpoints that a host watches: every plain service, and of
// the engines at most limit, half of them in the host's own data hall where
// there are so many, by rendezvous weight so that hosts spread evenly.
func Subset(hosts []store.Host, self, hall string, limit int) []store.Host {
	var kept, near, far []store.Host
	for _, h := range hosts {
		switch {
		case h.Kind == store.HostService:
			kept = append(kept, h)
		case h.Kind != store.HostEngine:
		case h.DataHall == hall:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near)+len(far) <= limit {
		return append(append(kept, near...), far...)
	}
	sortByWeight(near, self)
	sortByWeight(far, self)
	nearCount := min(len(near), max(limit/2, limit-len(far)))
	kept = append(kept, near[:nearCount]...)
	return append(kept, far[:limit-nearCount]...)
}

func sortByWeight(hosts []store.Host, self string) {
	sort.Slice(hosts, func(i, j int) bool {
		return xxhash.Sum64String(self+"\x00"+hosts[i].ID) > xxhash.Sum64String(self+"\x00"+hosts[j].ID)
	})
}
