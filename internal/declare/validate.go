package declare

import (
	"fmt"
	"regexp"
	"strings"
)

// namePattern restricts names to those usable in URLs, table keys and the query language.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// hashPattern is the form of a hashed secret.
var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// Problem is one error in a set of declarations.
type Problem struct {
	Path string // YAML path, such as $.models[0].name
	Text string // describes the error and the allowed values
}

// Error formats the problem as path: text.
func (p Problem) Error() string { return p.Path + ": " + p.Text }

// Unwrap makes every Problem match ErrInvalid.
func (p Problem) Unwrap() error { return ErrInvalid }

// checker collects problems.
type checker struct{ problems []Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.add(path, "%q is not a name: use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", name)
	}
	if seen[name] {
		c.add(path, "%q is declared twice", name)
	}
	seen[name] = true
}

func (c *checker) hash(path, hash string) {
	if !hashPattern.MatchString(hash) {
		c.add(path, "must be sha256: and 64 hex digits, as printed by 'quaybarrow hash-key'")
	}
}

func (c *checker) fraction(path string, value float64) {
	if value < 0 || value > 1 {
		c.add(path, "must be from 0 to 1, not %v", value)
	}
}

// Validate checks names, references and ranges, and returns all problems.
func (d Declarations) Validate() []Problem {
	c := &checker{}
	d.checkModels(c)
	d.checkServices(c)
	d.checkWorkspaces(c)
	d.checkPlans(c)
	d.checkOperators(c)
	return c.problems
}

func (d Declarations) checkModels(c *checker) {
	seen := map[string]bool{}
	for i, m := range d.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		c.name(path+".name", m.Name, seen)
		if len(m.Versions) == 0 {
			c.add(path+".versions", "must list at least one version")
		}
		versions := map[string]bool{}
		for j, v := range m.Versions {
			d.checkVersion(c, fmt.Sprintf("%s.versions[%d]", path, j), v, versions)
		}
	}
}

func (d Declarations) checkVersion(c *checker, path string, v Version, seen map[string]bool) {
	c.name(path+".name", v.Name, seen)
	switch v.State {
	case StateStaged, StateCanary, StateServing, StateRetired, StateWithdrawn:
	default:
		c.add(path+".state", "%q is not a state: use staged, canary, serving, retired or withdrawn", v.State)
	}
	if v.InputCost < 0 {
		c.add(path+".input_cost", "must not be negative")
	}
	if v.OutputCost < 0 {
		c.add(path+".output_cost", "must not be negative")
	}
	c.fraction(path+".quality", v.Quality)
}

func (d Declarations) checkServices(c *checker) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.name(path+".name", s.Name, seen)
		calls := map[string]bool{}
		for j, call := range s.Calls {
			c.name(fmt.Sprintf("%s.calls[%d].name", path, j), call.Name, calls)
		}
	}
}

func (d Declarations) checkWorkspaces(c *checker) {
	seen := map[string]bool{}
	hashes := map[string]bool{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		c.name(path+".name", w.Name, seen)
		for j, k := range w.Keys {
			at := fmt.Sprintf("%s.keys[%d].hash", path, j)
			c.hash(at, k.Hash)
			if hashes[k.Hash] {
				c.add(at, "the same key is used twice; a key must belong to one workspace only")
			}
			hashes[k.Hash] = true
		}
		if w.Concurrency < 1 {
			c.add(path+".concurrency", "must be 1 or more, not %d", w.Concurrency)
		}
		switch w.Priority {
		case "", PriorityInteractive, PriorityBatch:
		default:
			c.add(path+".priority", "%q is not a priority: use interactive or batch", w.Priority)
		}
		d.checkReferences(c, path, w)
	}
}

func (d Declarations) checkReferences(c *checker, path string, w Workspace) {
	for j, a := range w.Allow {
		if !d.isDeclared(ParseRef(a)) {
			c.add(fmt.Sprintf("%s.allow[%d]", path, j), "%q is not declared; known: %s", a, d.modelNames())
		}
	}
	for j, s := range w.Services {
		if _, ok := d.Service(s); !ok {
			c.add(fmt.Sprintf("%s.services[%d]", path, j), "service %q is not declared", s)
		}
	}
	names := map[string]bool{}
	for j, t := range w.Classes {
		at := fmt.Sprintf("%s.classes[%d]", path, j)
		c.name(at+".name", t.Name, names)
		c.fraction(at+".target", t.Target)
		c.fraction(at+".confidence", t.Confidence)
		if _, ok := d.Model(t.Name); ok {
			c.add(at+".name", "%q is a model's name already; a request could mean either", t.Name)
		}
		if len(t.Models) == 0 {
			c.add(at+".models", "must list at least one model")
		}
		for k, m := range t.Models {
			if _, ok := d.Model(m); !ok {
				c.add(fmt.Sprintf("%s.models[%d]", at, k), "model %q is not declared; known: %s", m, d.modelNames())
			}
		}
	}
}

func (d Declarations) checkPlans(c *checker) {
	seen := map[string]bool{}
	for i, p := range d.Plans {
		path := fmt.Sprintf("$.plans[%d]", i)
		c.name(path+".name", p.Name, seen)
		if _, ok := d.Version(ParseRef(p.Version)); !ok {
			c.add(path+".version", "version %q is not declared; write model@version", p.Version)
		}
		if p.Window < 1 {
			c.add(path+".window", "must be 1 or more, not %d", p.Window)
		}
		if p.Ratings < 1 {
			c.add(path+".ratings", "must be 1 or more, not %d", p.Ratings)
		}
		c.fraction(path+".floor", p.Floor)
		if p.RatingTimeout < 0 {
			c.add(path+".rating_timeout", "must not be negative")
		}
	}
}

func (d Declarations) checkOperators(c *checker) {
	seen := map[string]bool{}
	for i, o := range d.Operators {
		path := fmt.Sprintf("$.operators[%d]", i)
		c.name(path+".name", o.Name, seen)
		c.hash(path+".hash", o.Hash)
		if o.Role != RoleViewer && o.Role != RoleEditor {
			c.add(path+".role", "%q is not a role: use viewer or editor", o.Role)
		}
		for j, w := range o.Workspaces {
			if _, ok := d.Workspace(w); !ok {
				c.add(fmt.Sprintf("%s.workspaces[%d]", path, j), "workspace %q is not declared", w)
			}
		}
	}
}

// isDeclared reports whether the model, and the version if ref has one, is declared.
func (d Declarations) isDeclared(ref Ref) bool {
	if ref.Version == "" {
		_, ok := d.Model(ref.Model)
		return ok
	}
	_, ok := d.Version(ref)
	return ok
}

func (d Declarations) modelNames() string {
	names := make([]string, 0, len(d.Models))
	for _, m := range d.Models {
		names = append(names, m.Name)
	}
	return strings.Join(names, ", ")
}
