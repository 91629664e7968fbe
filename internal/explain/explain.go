// Package explain tells a request's story from the log lines of all hosts.
//
// # Usage
//
//	story, err := explain.Read("d924e5870b59e071", files...)
//	err = story.Write(os.Stdout)
//
// A story holds the lines that name the request, and those that tell what its hosts
// believed around it: of the endpoints it was at, of the configuration, the store
// and other hosts. Lines are JSON objects; what stands before the first brace, as a
// collector's prefix, is passed over, and so are lines that are no objects.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// contextWindow is how long before and after a request its hosts' other lines count:
	// somewhat over the age that a configuration or a list of endpoints may have.
	contextWindow = 3 * time.Second
	// maxLineBytes is the longest log line that is read.
	maxLineBytes = 1 << 20
)

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Line is a line of a log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Request string // id of the request that it is about; empty if it is about none
	Fields  []Field
}

// Field is a named value of a line.
type Field struct {
	Name  string
	Value any
}

// fieldText returns a value as text; empty if there is none.
func (l Line) fieldText(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return fmt.Sprint(f.Value)
		}
	}
	return ""
}

// ParseLine reads a line of a log; false if it holds none.
func ParseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(strings.NewReader(text[start:]))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		l.setField(fmt.Sprint(name), value)
	}
	return l, l.Message != ""
}

// setField notes a field; those that every line has are fields of Line.
func (l *Line) setField(name string, value any) {
	switch name {
	case "time":
		// A line without a readable time stays in the story, at its beginning.
		if at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(value)); err == nil {
			l.At = at
		}
	case "level":
	case "host":
		l.Host = fmt.Sprint(value)
	case "msg":
		l.Message = fmt.Sprint(value)
	case "id":
		l.Request = fmt.Sprint(value)
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: value})
	}
}

// Timeline is what the logs tell of a request.
type Timeline struct {
	Request      string
	RequestLines []Line // lines that name it, in order
	HostLines    []Line // what its hosts believed around it, in order
}

// Read makes the story of a request of logs.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := ParseLine(scanner.Text()); ok && (l.Request == request || l.Request == "") {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Timeline{}, fmt.Errorf("read log: %w", err)
		}
	}
	return newTimeline(request, lines)
}

// newTimeline picks the lines that belong to a request's story.
func newTimeline(request string, lines []Line) (Timeline, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s := Timeline{Request: request}
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			s.RequestLines = append(s.RequestLines, l)
			hosts[l.Host] = true
			endpoints[l.fieldText("endpoint")] = true
		}
	}
	if len(s.RequestLines) == 0 {
		return Timeline{}, errors.WithMessagef(ErrUnknown, "request %s", request)
	}
	from, to := s.arrival().Add(-contextWindow), s.RequestLines[len(s.RequestLines)-1].At.Add(contextWindow)
	for _, l := range lines {
		if l.Request != "" || !hosts[l.Host] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		if id := l.fieldText("endpoint"); id == "" || endpoints[id] {
			s.HostLines = append(s.HostLines, l)
		}
	}
	return s, nil
}

// arrival is when the request arrived, as its last line tells.
func (s Timeline) arrival() time.Time {
	last := s.RequestLines[len(s.RequestLines)-1]
	if took, err := time.ParseDuration(last.fieldText("took_ms") + "ms"); err == nil {
		return last.At.Add(-took)
	}
	return s.RequestLines[0].At
}

// Write writes a story for a reader: all its lines in order, the request's own ones
// marked, with the time since it arrived, and its outcome.
func (s Timeline) Write(w io.Writer) error {
	arrival := s.arrival()
	all := slices.Concat(s.RequestLines, s.HostLines)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	var b strings.Builder
	for _, l := range all {
		mark := " "
		if l.Request == s.Request {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %+9.3fs %s: %s", mark, l.At.Sub(arrival).Seconds(), l.Host, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(&b, " %s=%s", f.Name, formatValue(f.Value))
		}
		b.WriteByte('\n')
	}
	last := s.RequestLines[len(s.RequestLines)-1]
	fmt.Fprintf(&b, "outcome: %s\n", outcomeOf(last))
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write story: %w", err)
	}
	return nil
}

// outcomeOf is a request's outcome, if its last line tells it.
func outcomeOf(last Line) string {
	if outcome := last.fieldText("outcome"); outcome != "" {
		return outcome
	}
	return "not told; the host ended, or the line was dropped"
}

// formatValue writes a value, in quotes where it holds blanks.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\"") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
