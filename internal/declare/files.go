package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"quaybarrow/internal/yamlfile"
)

// Source holds the declarations of a directory and locates each in its file.
type Source struct {
	Declarations Declarations
	sections     []section
}

// section maps the entries that one file contributes to the merged declarations to that file.
type section struct {
	doc     *yamlfile.Document
	offsets map[string]int // entries of each top-level field in the files before this one
	counts  map[string]int // entries of each top-level field in this file
}

// entryPath matches the path of a problem and captures its top-level field, the index and the rest.
var entryPath = regexp.MustCompile(`^\$\.([a-z]+)\[(\d+)\](.*)$`)

// ReadDir reads and merges every .yaml file of a directory, in name order.
// Errors about the contents match ErrInvalid or yamlfile.ErrInvalid and give file, line and field.
func ReadDir(dir string) (Source, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return Source{}, fmt.Errorf("list declarations: %w", err)
	}
	if len(names) == 0 {
		return Source{}, fmt.Errorf("%w: no .yaml file in %s", ErrInvalid, dir)
	}
	var source Source
	for _, name := range names {
		if err := source.addFile(name); err != nil {
			return Source{}, err
		}
	}
	if problems := source.Declarations.Validate(); len(problems) > 0 {
		return Source{}, source.Locate(problems)
	}
	return source, nil
}

// addFile reads a file and merges its declarations into the source.
func (s *Source) addFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read declarations: %w", err)
	}
	var part Declarations
	doc, err := yamlfile.Decode(name, data, &part)
	if err != nil {
		return fmt.Errorf("read declarations: %w", err)
	}
	s.sections = append(s.sections, section{doc: doc, offsets: entryCounts(s.Declarations), counts: entryCounts(part)})
	s.Declarations = s.Declarations.Merge(part)
	return nil
}

// Locate returns one error that gives the file, line and field of each problem.
func (s Source) Locate(problems []Problem) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = s.locate(p).Error()
	}
	return errors.WithMessage(ErrInvalid, strings.Join(lines, "\n"))
}

func (s Source) locate(p Problem) error {
	match := entryPath.FindStringSubmatch(p.Path)
	if match == nil {
		return p
	}
	index, err := strconv.Atoi(match[2])
	if err != nil {
		return p
	}
	for _, part := range s.sections {
		local := index - part.offsets[match[1]]
		if local >= 0 && local < part.counts[match[1]] {
			return part.doc.Errorf(fmt.Sprintf("$.%s[%d]%s", match[1], local, match[3]), "%s", p.Text)
		}
	}
	return p
}

func entryCounts(d Declarations) map[string]int {
	return map[string]int{
		"workspaces": len(d.Workspaces),
		"models":     len(d.Models),
		"services":   len(d.Services),
		"plans":      len(d.Plans),
		"operators":  len(d.Operators),
	}
}
