// Package declare defines the declarations that operators make: workspaces, models, versions, task
// classes, quality targets, roll-out plans and plain services.
//
// # Usage
//
//	d, err := declare.ReadDir("declarations/")
//	...
//	v, ok := d.Version(declare.Ref{Model: "support", Version: "7"})
//
// Declarations are immutable values. A With method returns a changed copy and leaves the original
// unchanged.
package declare

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is matched by every error about the contents of declarations.
var ErrInvalid = errors.New("invalid declaration")

// State is the lifecycle state of a version.
type State string

// The lifecycle states of a version, in order. Only canary and serving versions accept new
// sessions; a retired version still answers the sessions pinned to it; a withdrawn version never
// answers again.
const (
	StateStaged    State = "staged"
	StateCanary    State = "canary"
	StateServing   State = "serving"
	StateRetired   State = "retired"
	StateWithdrawn State = "withdrawn"
)

// Priority determines which requests are served first when capacity is short.
type Priority string

// Priorities, most urgent first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Role is the set of commands that an operator may run.
type Role string

// Roles of operators.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Ref refers to a version of a model, written as model@version.
type Ref struct {
	Model   string `json:"model" yaml:"model"`
	Version string `json:"version" yaml:"version"`
}

// ParseRef splits model@version. A text without @ refers to a model only.
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

// Key is a named secret of a caller, stored only as a hash.
type Key struct {
	Name string `json:"name" yaml:"name"` // for logs and rotation
	Hash string `json:"hash" yaml:"hash"` // sha256:<64 hex digits> of the secret
}

// TaskClass is a kind of task with its own quality target.
type TaskClass struct {
	Name   string   `json:"name" yaml:"name"`
	Models []string `json:"models" yaml:"models"` // candidates, in any order
	Target float64  `json:"target" yaml:"target"` // lowest acceptable mean rating, 0 to 1
	// Cascade asks a cheap model first and a more expensive one only if the cheap answer fails a check.
	Cascade bool `json:"cascade,omitempty" yaml:"cascade,omitempty"`
	// Confidence is the minimum confidence, 0 to 1, at which the cheap answer of a cascade is returned
	// to the caller.
	Confidence float64 `json:"confidence,omitempty" yaml:"confidence,omitempty"`
}

// Workspace is a tenant: its callers' keys, the models and services that they may use, and their
// concurrency limit.
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
	// InputCost and OutputCost are in millionths of a currency unit per token.
	InputCost  int64 `json:"input_cost" yaml:"input_cost"`
	OutputCost int64 `json:"output_cost" yaml:"output_cost"`
	// Quality is the operators' prior estimate of the mean rating, 0 to 1.
	Quality float64 `json:"quality,omitempty" yaml:"quality,omitempty"`
}

// Model is a named model with its versions.
type Model struct {
	Name     string    `json:"name" yaml:"name"`
	Versions []Version `json:"versions" yaml:"versions"`
}

// Call is one operation of a plain service.
type Call struct {
	Name       string `json:"name" yaml:"name"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
	// RequireKey rejects calls without an Idempotency-Key header.
	RequireKey bool `json:"require_key,omitempty" yaml:"require_key,omitempty"`
}

// Service is a plain service, as opposed to a model engine.
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

// Plan is a roll-out plan: the conditions under which a canary version receives traffic and is
// accepted.
type Plan struct {
	Name    string `json:"name" yaml:"name"`
	Version string `json:"version" yaml:"version"` // model@version
	// Window is the maximum number of answers, over all hosts, that may await a rating when the plan
	// starts.
	Window int `json:"window" yaml:"window"`
	// Floor is the mean rating, 0 to 1, below which the version counts as bad.
	Floor float64 `json:"floor" yaml:"floor"`
	// Ratings is the number of ratings in the version's favor at which it is accepted.
	Ratings int `json:"ratings" yaml:"ratings"`
	// RatingTimeout is the time in seconds to wait for the rating of an answer; an answer that is not
	// rated by then no longer counts toward the window. 0 means 600.
	RatingTimeout int `json:"rating_timeout,omitempty" yaml:"rating_timeout,omitempty"`
	// Held stops the granting of new credits until the plan is resumed.
	Held bool `json:"held,omitempty" yaml:"held,omitempty"`
}

// defaultRatingTimeout applies to plans that set no timeout.
const defaultRatingTimeout = 10 * time.Minute

// Timeout returns the time to wait for the rating of an answer.
func (p Plan) Timeout() time.Duration {
	if p.RatingTimeout == 0 {
		return defaultRatingTimeout
	}
	return time.Duration(p.RatingTimeout) * time.Second
}

// Operator is a person or program that runs commands.
type Operator struct {
	Name       string   `json:"name" yaml:"name"`
	Hash       string   `json:"hash" yaml:"hash"` // sha256:<64 hex digits> of the secret
	Role       Role     `json:"role" yaml:"role"`
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"` // empty means all
}

// Declarations is the complete set of declarations, as one immutable value.
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

// PlanFor finds the roll-out plan of the version.
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

// Merge returns the entries of d followed by those of other. It does not look for duplicates.
func (d Declarations) Merge(other Declarations) Declarations {
	d.Workspaces = append(d.Workspaces[:len(d.Workspaces):len(d.Workspaces)], other.Workspaces...)
	d.Models = append(d.Models[:len(d.Models):len(d.Models)], other.Models...)
	d.Services = append(d.Services[:len(d.Services):len(d.Services)], other.Services...)
	d.Plans = append(d.Plans[:len(d.Plans):len(d.Plans)], other.Plans...)
	d.Operators = append(d.Operators[:len(d.Operators):len(d.Operators)], other.Operators...)
	return d
}
