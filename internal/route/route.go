// Package route holds what operators declare about routed requests: routes by
// host name and path, the workspaces that may use them, the services behind
// them and the bounds on callers.
//
// # Usage
//
//	table := route.NewTable(route.Declaration{Version: 7, Routes: routes, ...})
//	r, ok := table.Match("api.example", "/orders/17")
//	workspace, ok := table.Workspace(key)
//
// A Table is immutable; a host keeps the newest in a Holder, which only ever
// moves to a higher version. Nothing here reads the network.
package route

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"quaybarrow/internal/capacity"
)

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	KindOnce       Kind = iota // runs at most once
	KindRepeatable             // may run more than once
	KindStream                 // answers with a stream of events
)

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case KindRepeatable:
		return "repeatable"
	case KindStream:
		return "stream"
	default:
		return "once"
	}
}

// Target is a service that a route's requests go to, with a weight among them.
type Target struct {
	Service string
	Weight  int
}

// Route is where requests of a host name and a path go, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest that a request is held
	Objective   time.Duration // answers within it are worth most
	MaxEventGap time.Duration // longest pause between events that is in time
	Attempts    int           // most endpoints that one request is sent to
	Priority    int           // 0 is most urgent
	Public      bool          // needs no key
	Resumable   bool          // a stream may go on at another endpoint
	Models      []string      // smallest first; empty where the request names its model
	Regions     []string      // whose endpoints may run its requests; empty for all
	Targets     []Target
	TotalWeight int // sum of the targets' weights
}

// Repeatable reports whether the request may run again after a failure.
func (r Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Target picks the service for a point between 0 and 1.
func (r Route) Target(point float64) string {
	remaining := point * float64(r.TotalWeight)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a model that a service's endpoints run.
type Model struct {
	Name string
	Cost float64 // for 1,000 tokens made; read ones count a quarter
}

// Service is a group of endpoints that do the same.
type Service struct {
	Name         string
	MaxConns     int // connections an endpoint takes, from all hosts together
	Slots        int // requests an engine runs at once; 0 if not an engine
	CacheTokens  int // tokens an engine's memory holds
	Models       []Model
	ColdDuration time.Duration // after its start an endpoint is cold so long
	ColdRate     float64       // requests a second that a cold endpoint bears; 0 where it bears as many as others
	// Scaling is how many endpoints may be ordered; zero where none are.
	Scaling capacity.Scaling
}

// Workspace is who calls.
type Workspace struct {
	Name     string
	Priority int // takes precedence over the route's; -1 if it has none
	Keys     []string
	Regions  []string // whose endpoints may run its requests; empty for all
}

// Limits bound what callers may send and how long they may idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is a whole configuration of routed requests.
type Declaration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is a declaration made ready for look-ups.
type Table struct {
	version    int64
	byHost     map[string][]Route // longest prefix first
	services   map[string]Service
	byKey      map[string]Workspace
	workspaces int
	limits     Limits
}

// NewTable makes a declaration ready for look-ups.
func NewTable(d Declaration) *Table {
	t := &Table{
		version: d.Version, limits: d.Limits, workspaces: len(d.Workspaces),
		byHost: map[string][]Route{}, services: map[string]Service{}, byKey: map[string]Workspace{},
	}
	for _, r := range d.Routes {
		r.TotalWeight = 0
		for _, target := range r.Targets {
			r.TotalWeight += target.Weight
		}
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	return t
}

// Version returns the declaration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Match finds the route with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// KeysRequired reports whether requests on routes that aren't public need a key.
func (t *Table) KeysRequired() bool { return t.workspaces > 0 }

// Workspace finds whom a key belongs to.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Services lists all services, by name.
func (t *Table) Services() []Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Service finds a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// canonicalHost drops a port and the case of a host name.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
