package console

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrField reports that a query names a field that its rows do not have.
var ErrField = errors.New("no such field")

// Cell is a named value of a row.
type Cell struct {
	Name  string
	Value any // string, float64, int64 or bool
}

// Row is one row of a query's result; the order of its cells is significant.
type Row []Cell

// Get returns the value of the named cell as text, and whether the row has the cell.
func (r Row) Get(name string) (string, bool) {
	for _, c := range r {
		if c.Name == name {
			return fmt.Sprint(c.Value), true
		}
	}
	return "", false
}

// MarshalJSON encodes the row as an object whose keys are in the order of its cells.
func (r Row) MarshalJSON() ([]byte, error) {
	var b strings.Builder
	b.WriteByte('{')
	for i, c := range r {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(c.Name)
		if err != nil {
			return nil, fmt.Errorf("encode row: %w", err)
		}
		value, err := json.Marshal(c.Value)
		if err != nil {
			return nil, fmt.Errorf("encode row: %w", err)
		}
		b.Write(name)
		b.WriteByte(':')
		b.Write(value)
	}
	b.WriteByte('}')
	return []byte(b.String()), nil
}

// Apply filters, groups and limits rows as show specifies. A limit keeps the last rows.
func Apply(show Show, rows []Row) ([]Row, error) {
	if err := checkFields(show, rows); err != nil {
		return nil, err
	}
	kept := rows[:0:0]
	for _, r := range rows {
		if matches(r, show.Where) {
			kept = append(kept, r)
		}
	}
	if show.By != "" {
		kept = group(kept, show.By)
	}
	if show.Limit > 0 && len(kept) > show.Limit {
		kept = kept[len(kept)-show.Limit:]
	}
	return kept, nil
}

// checkFields returns an ErrField if the first row lacks a field that the query names.
func checkFields(show Show, rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	names := make([]string, len(rows[0]))
	for i, c := range rows[0] {
		names[i] = c.Name
	}
	check := func(field string) error {
		if _, ok := rows[0].Get(field); !ok {
			return fmt.Errorf("%w: %s have no field %q; they have %s", ErrField, show.Subject, field, strings.Join(names, ", "))
		}
		return nil
	}
	for _, c := range show.Where {
		if err := check(c.Field); err != nil {
			return err
		}
	}
	if show.By != "" {
		return check(show.By)
	}
	return nil
}

func matches(r Row, where []Condition) bool {
	for _, c := range where {
		value, _ := r.Get(c.Field)
		if !c.matches(value) {
			return false
		}
	}
	return true
}

// matches reports whether value meets the condition. It compares two numbers as numbers, and
// anything else as text.
func (c Condition) matches(value string) bool {
	order := strings.Compare(value, c.Value)
	a, errA := strconv.ParseFloat(value, 64)
	b, errB := strconv.ParseFloat(c.Value, 64)
	if errA == nil && errB == nil {
		order = 0
		if a < b {
			order = -1
		}
		if a > b {
			order = 1
		}
	}
	switch c.Operator {
	case OperatorEqual:
		return order == 0
	case OperatorNotEqual:
		return order != 0
	case OperatorLess:
		return order < 0
	case OperatorGreater:
		return order > 0
	default:
		return false
	}
}

// group returns one row for each value of the field by, with the count of its rows and their
// numeric fields: means of times (names ending in _ms), totals of all others.
func group(rows []Row, by string) []Row {
	type total struct {
		count int
		sums  map[string]float64
	}
	totals := map[string]*total{}
	var keys, fields []string
	for _, r := range rows {
		key, _ := r.Get(by)
		t := totals[key]
		if t == nil {
			t = &total{sums: map[string]float64{}}
			totals[key] = t
			keys = append(keys, key)
		}
		t.count++
		for _, c := range r {
			if v, ok := toFloat(c.Value); ok {
				if _, seen := t.sums[c.Name]; !seen && !contains(fields, c.Name) {
					fields = append(fields, c.Name)
				}
				t.sums[c.Name] += v
			}
		}
	}
	sort.Strings(keys)
	grouped := make([]Row, 0, len(keys))
	for _, key := range keys {
		t := totals[key]
		row := Row{{by, key}, {"count", int64(t.count)}}
		for _, f := range fields {
			value := t.sums[f]
			if strings.HasSuffix(f, "_ms") {
				value /= float64(t.count)
			}
			row = append(row, Cell{f, value})
		}
		grouped = append(grouped, row)
	}
	return grouped
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func toFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	case int:
		return float64(n), true
	default:
		return 0, false
	}
}

// Text formats rows as an aligned plain-text table.
func Text(rows []Row) string {
	if len(rows) == 0 {
		return "(none)\n"
	}
	widths := make([]int, len(rows[0]))
	lines := make([][]string, 0, len(rows)+1)
	header := make([]string, len(rows[0]))
	for i, c := range rows[0] {
		header[i] = strings.ToUpper(c.Name)
	}
	lines = append(lines, header)
	for _, r := range rows {
		cells := make([]string, len(widths))
		for i := range widths {
			if i < len(r) {
				cells[i] = CellText(r[i].Value)
			}
		}
		lines = append(lines, cells)
	}
	for _, l := range lines {
		for i, c := range l {
			widths[i] = max(widths[i], len([]rune(c)))
		}
	}
	var b strings.Builder
	for _, l := range lines {
		text := ""
		for i, c := range l {
			text += c + strings.Repeat(" ", widths[i]-len([]rune(c))+2)
		}
		b.WriteString(strings.TrimRight(text, " ") + "\n")
	}
	return b.String()
}

// cellDigits is the maximum number of decimals that a table shows.
const cellDigits = 3

// CellText formats a value for display in a table.
func CellText(v any) string {
	if f, ok := v.(float64); ok {
		text := strconv.FormatFloat(f, 'f', cellDigits, 64)
		return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
	}
	return fmt.Sprint(v)
}
