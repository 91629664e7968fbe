package declare

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Difference is a field whose value differs between two sets of declarations.
type Difference struct {
	Path   string `json:"path"` // such as workspaces.clerks.concurrency
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference as a line of text that begins with +, - or ~.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Diff returns the differences between two sets of declarations, sorted by path.
// Entries of lists are matched by their names, so their order does not matter.
func Diff(before, after Declarations) ([]Difference, error) {
	previous, err := flatten(before)
	if err != nil {
		return nil, err
	}
	current, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for path, value := range previous {
		if current[path] != value {
			differences = append(differences, Difference{Path: path, Before: value, After: current[path]})
		}
	}
	for path, value := range current {
		if _, ok := previous[path]; !ok {
			differences = append(differences, Difference{Path: path, After: value})
		}
	}
	sort.Slice(differences, func(i, j int) bool { return differences[i].Path < differences[j].Path })
	return differences, nil
}

// flatten returns the value of every leaf of the declarations by its path.
func flatten(d Declarations) (map[string]string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("compare declarations: %w", err)
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("compare declarations: %w", err)
	}
	leaves := map[string]string{}
	collectLeaves("", tree, leaves)
	return leaves, nil
}

func collectLeaves(path string, node any, leaves map[string]string) {
	switch n := node.(type) {
	case map[string]any:
		for k, v := range n {
			collectLeaves(joinPath(path, k), v, leaves)
		}
	case []any:
		for i, v := range n {
			collectLeaves(joinPath(path, entryName(i, v)), v, leaves)
		}
	default:
		leaves[path] = fmt.Sprint(n)
	}
}

// entryName returns the name of a list entry, or its index if it has none.
func entryName(index int, entry any) string {
	switch e := entry.(type) {
	case map[string]any:
		if name, ok := e["name"].(string); ok {
			return name
		}
	case string:
		return e
	}
	return fmt.Sprint(index)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
