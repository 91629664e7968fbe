// Package route holds the operators' configuration of routed requests: the routes by host name and
// path, the workspaces that may use them, the services behind them, and the limits on callers.
//
// # Usage
//
//	table := route.NewTable(route.Declaration{Version: 7, Routes: routes, ...})
//	r, ok := table.Match("api.example", "/orders/17")
//	workspace, ok := table.Workspace(key)
//
// A Table is immutable. A host keeps the newest one in a Holder, which only accepts higher
// versions. This package does no network I/O.
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

// Kind states how often a request may run and whether its response is a stream.
type Kind int

// Kinds of requests.
const (
	KindOnce       Kind = iota // may run at most once
	KindRepeatable             // may run more than once
	KindStream                 // has a stream of events as its response
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

// Target is a service to which a route sends requests, with its weight among the route's targets.
type Target struct {
	Service string
	Weight  int
}

// Route defines how requests for a host name and a path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request may take
	Objective   time.Duration // responses within it have the highest value
	MaxEventGap time.Duration // longest time between events that counts as on time
	Attempts    int           // maximum number of endpoints to which one request is sent
	Priority    int           // 0 is the most urgent
	Public      bool          // requires no API key
	Resumable   bool          // a stream may be continued at another endpoint
	Models      []string      // smallest first; empty if the request names its model
	Regions     []string      // regions whose endpoints may run its requests; empty means all
	Targets     []Target
	TotalWeight int // sum of the targets' weights
}

// Repeatable reports whether the request may run again after a failure.
func (r Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Target selects a service by weight, for a point from 0 up to 1.
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
	Cost float64 // per 1,000 generated tokens; prompt tokens count a quarter
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name         string
	MaxConns     int // connections that an endpoint accepts from all hosts together
	Slots        int // requests that an engine runs at the same time; 0 if it is not an engine
	CacheTokens  int // tokens that an engine's cache holds
	Models       []Model
	ColdDuration time.Duration // time after its start during which an endpoint is cold
	ColdRate     float64       // requests per second that a cold endpoint can handle; 0 if as many as a warm one
	// Scaling bounds how many endpoints may be ordered; zero if none may be.
	Scaling capacity.Scaling
}

// NoPriority is the Priority of a workspace that states none.
const NoPriority = -1

// Workspace is a group of callers, identified by its API keys.
type Workspace struct {
	Name     string
	Priority int // takes precedence over the route's priority; NoPriority if not set
	Keys     []string
	Regions  []string // regions whose endpoints may run its requests; empty means all
}

// Limits bound the size of requests and the time that callers may take to send them or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is a complete configuration of routed requests.
type Declaration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is a declaration indexed for lookups.
type Table struct {
	version    int64
	byHost     map[string][]Route // longest prefix first
	services   map[string]Service
	byKey      map[string]Workspace
	byName     map[string]Workspace
	workspaces int
	limits     Limits
	shares     bool                      // result of SharesCapacity
	objectives map[string]objectiveRange // by service
	orders     orders                    // used where capacity is shared
}

// NewTable indexes a declaration for lookups.
func NewTable(d Declaration) *Table {
	t := &Table{
		version: d.Version, limits: d.Limits, workspaces: len(d.Workspaces),
		byHost: map[string][]Route{}, services: map[string]Service{}, byKey: map[string]Workspace{}, byName: map[string]Workspace{},
		objectives: objectivesByService(d.Routes), orders: newOrders(d),
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
		t.byName[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	t.shares = sharesCapacity(d)
	return t
}

// Version returns the declaration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the host's route with the longest prefix of the path.
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

// Workspace returns the workspace to which a key belongs.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// WorkspaceNamed returns the workspace with a name.
func (t *Table) WorkspaceNamed(name string) (Workspace, bool) {
	w, ok := t.byName[name]
	return w, ok
}

// Services returns all services, sorted by name.
func (t *Table) Services() []Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// canonicalHost removes the port from a host name and converts it to lower case.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
