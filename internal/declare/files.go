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

// Source is a directory of declarations that can tell where each stands.
type Source struct {
	Declarations Declarations
	sections     []section
}

// section ties a part of the merged declarations to the file it came from.
type section struct {
	doc     *yamlfile.Document
	offsets map[string]int // entries of each top field before this file
	counts  map[string]int // entries of each top field in this file
}

// entryPath matches the leading field and index of a problem's path.
var entryPath = regexp.MustCompile(`^\$\.([a-z]+)\[(\d+)\](.*)$`)

// ReadDir reads and merges every .yaml file of a directory, in name order.
// Errors match ErrInvalid or yamlfile.ErrInvalid and name file, line and field.
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

// addFile reads one more file into the source.
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

// Locate turns problems into one error that names file, line and field of each.
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
