// Package declare holds what operators declare: workspaces, models, versions,
// task classes, quality targets, roll-out plans and plain services.
//
// # Usage
//
//	d, err := declare.ReadDir("declarations/")
//	...
//	v, ok := d.Version(declare.Ref{Model: "support", Version: "7"})
//
// Declarations are immutable values. A change is made with a With method,
// which returns a new value and leaves the old one as it was.
package declare

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is matched by every error about what was declared.
var ErrInvalid = errors.New("invalid declaration")

// State is the life stage of a version.
type State string

// The life stages of a version. Only serving and canary versions take new
// sessions; a retired one still answers sessions pinned to it; a withdrawn one
// answers nothing, ever again.
const (
	StateStaged    State = "staged"
	StateCanary    State = "canary"
	StateServing   State = "serving"
	StateRetired   State = "retired"
	StateWithdrawn State = "withdrawn"
)

// Priority orders requests when capacity is short.
type Priority string

// Priorities, most urgent first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Role says what an operator may do.
type Role string

// Roles of operators.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Ref names a version of a model, written model@version.
type Ref struct {
	Model   string `json:"model" yaml:"model"`
	Version string `json:"version" yaml:"version"`
}

// ParseRef splits model@version. A text without @ names a model only.
func ParseRef(text string) Ref {
	model, version, _ := strings.Cut(text, "@")
	return Ref{Model: model, Version: version}
}

// String formats the reference as model@version, or model alone.
func (r Ref) String() string {
	if r.Version == "" {
		return r.Model
	}
	return r.Model + "@" + r.Version
}

// Key is a caller's or operator's secret, kept only as a hash.
type Key struct {
	Name string `json:"name" yaml:"name"` // for logs and rotation
	Hash string `json:"hash" yaml:"hash"` // sha256:<64 hex digits> of the secret
}

// TaskClass is a kind of work with a quality target of its own.
type TaskClass struct {
	Name   string   `json:"name" yaml:"name"`
	Models []string `json:"models" yaml:"models"` // candidates, any order
	Target float64  `json:"target" yaml:"target"` // least mean rating, 0 to 1
	// Cascade lets a cheap answer be checked before a dearer model is asked.
	Cascade bool `json:"cascade,omitempty" yaml:"cascade,omitempty"`
	// Confidence is the least confidence, 0 to 1, with which the cheap answer
	// of a cascade is given to the caller.
	Confidence float64 `json:"confidence,omitempty" yaml:"confidence,omitempty"`
}

// Workspace is a tenant: who may call, what they may use, how much.
type Workspace struct {
	Name        string      `json:"name" yaml:"name"`
	Keys        []Key       `json:"keys" yaml:"keys"`
	Allow       []string    `json:"allow" yaml:"allow"`             // model or model@version
	Concurrency int         `json:"concurrency" yaml:"concurrency"` // requests in flight on one host
	Priority    Priority    `json:"priority,omitempty" yaml:"priority,omitempty"`
	Services    []string    `json:"services,omitempty" yaml:"services,omitempty"`
	Classes     []TaskClass `json:"classes,omitempty" yaml:"classes,omitempty"`
}

// Allows reports whether the workspace may use the version.
func (w Workspace) Allows(ref Ref) bool {
	for _, a := range w.Allow {
		r := ParseRef(a)
		if r.Model == ref.Model && (r.Version == "" || r.Version == ref.Version) {
			return true
		}
	}
	return false
}

// Class finds a task class by name.
func (w Workspace) Class(name string) (TaskClass, bool) {
	for _, c := range w.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return TaskClass{}, false
}

// Version is one version of a model.
type Version struct {
	Name  string `json:"name" yaml:"name"`
	State State  `json:"state" yaml:"state"`
	// InputCost and OutputCost are in micro-units of money per token.
	InputCost  int64 `json:"input_cost" yaml:"input_cost"`
	OutputCost int64 `json:"output_cost" yaml:"output_cost"`
	// Quality is the operators' prior for the mean rating, 0 to 1.
	Quality float64 `json:"quality,omitempty" yaml:"quality,omitempty"`
}

// Model is a family of versions.
type Model struct {
	Name     string    `json:"name" yaml:"name"`
	Versions []Version `json:"versions" yaml:"versions"`
}

// Call is one operation of a plain service.
type Call struct {
	Name       string `json:"name" yaml:"name"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
	// RequireKey refuses calls without an Idempotency-Key.
	RequireKey bool `json:"require_key,omitempty" yaml:"require_key,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name  string `json:"name" yaml:"name"`
	Calls []Call `json:"calls" yaml:"calls"`
}

// Call finds an operation by name.
func (s Service) Call(name string) (Call, bool) {
	for _, c := range s.Calls {
		if c.Name == name {
			return c, true
		}
	}
	return Call{}, false
}

// Plan is a roll-out: how a canary version earns its traffic.
type Plan struct {
	Name    string `json:"name" yaml:"name"`
	Version string `json:"version" yaml:"version"` // model@version
	// Window is the largest count of answers that may be out without a rating
	// when the plan starts, over all hosts.
	Window int `json:"window" yaml:"window"`
	// Floor is the mean rating below which the version is bad, 0 to 1.
	Floor float64 `json:"floor" yaml:"floor"`
	// Ratings is how many ratings in its favour accept the version.
	Ratings int `json:"ratings" yaml:"ratings"`
	// RatingTimeout is how many seconds an answer's rating is waited for; an
	// answer not rated by then no longer fills the window. 0 means 600.
	RatingTimeout int `json:"rating_timeout,omitempty" yaml:"rating_timeout,omitempty"`
	// Held stops new credits until it is resumed.
	Held bool `json:"held,omitempty" yaml:"held,omitempty"`
}

// defaultRatingTimeout holds where a plan sets none.
const defaultRatingTimeout = 10 * time.Minute

// Timeout is how long an answer's rating is waited for.
func (p Plan) Timeout() time.Duration {
	if p.RatingTimeout == 0 {
		return defaultRatingTimeout
	}
	return time.Duration(p.RatingTimeout) * time.Second
}

// Operator is a person or program that runs commands.
type Operator struct {
	Name       string   `json:"name" yaml:"name"`
	Hash       string   `json:"hash" yaml:"hash"` // as Key.Hash
	Role       Role     `json:"role" yaml:"role"`
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"` // none means all
}

// Declarations is everything declared, as one immutable value.
type Declarations struct {
	Workspaces []Workspace `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	Models     []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	Services   []Service   `json:"services,omitempty" yaml:"services,omitempty"`
	Plans      []Plan      `json:"plans,omitempty" yaml:"plans,omitempty"`
	Operators  []Operator  `json:"operators,omitempty" yaml:"operators,omitempty"`
}

// Workspace finds a workspace by name.
func (d Declarations) Workspace(name string) (Workspace, bool) {
	for _, w := range d.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Model finds a model by name.
func (d Declarations) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Version finds a version by reference.
func (d Declarations) Version(ref Ref) (Version, bool) {
	m, ok := d.Model(ref.Model)
	if !ok {
		return Version{}, false
	}
	for _, v := range m.Versions {
		if v.Name == ref.Version {
			return v, true
		}
	}
	return Version{}, false
}

// Service finds a plain service by name.
func (d Declarations) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// PlanFor finds the plan that rolls out the version.
func (d Declarations) PlanFor(ref Ref) (Plan, bool) {
	for _, p := range d.Plans {
		if p.Version == ref.String() {
			return p, true
		}
	}
	return Plan{}, false
}

// WithState returns the declarations with the version in another state.
func (d Declarations) WithState(ref Ref, state State) Declarations {
	models := make([]Model, len(d.Models))
	copy(models, d.Models)
	for i, m := range models {
		if m.Name != ref.Model {
			continue
		}
		versions := make([]Version, len(m.Versions))
		copy(versions, m.Versions)
		for j := range versions {
			if versions[j].Name == ref.Version {
				versions[j].State = state
			}
		}
		models[i].Versions = versions
	}
	d.Models = models
	return d
}

// WithHeld returns the declarations with a plan held or resumed.
func (d Declarations) WithHeld(plan string, held bool) Declarations {
	plans := append([]Plan(nil), d.Plans...)
	for i := range plans {
		if plans[i].Name == plan {
			plans[i].Held = held
		}
	}
	d.Plans = plans
	return d
}

// Plan finds a plan by name.
func (d Declarations) Plan(name string) (Plan, bool) {
	for _, p := range d.Plans {
		if p.Name == name {
			return p, true
		}
	}
	return Plan{}, false
}

// Merge joins two sets of declarations into one.
func (d Declarations) Merge(other Declarations) Declarations {
	d.Workspaces = append(d.Workspaces[:len(d.Workspaces):len(d.Workspaces)], other.Workspaces...)
	d.Models = append(d.Models[:len(d.Models):len(d.Models)], other.Models...)
	d.Services = append(d.Services[:len(d.Services):len(d.Services)], other.Services...)
	d.Plans = append(d.Plans[:len(d.Plans):len(d.Plans)], other.Plans...)
	d.Operators = append(d.Operators[:len(d.Operators):len(d.Operators)], other.Operators...)
	return d
}
