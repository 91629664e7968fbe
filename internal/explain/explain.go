// Package explain reconstructs the timeline of a request from the logs of all hosts.
//
// # Usage
//
//	timeline, err := explain.Read("d924e5870b59e071", files...)
//	err = timeline.Write(os.Stdout)
//
// A timeline holds the log lines that name the request, and the lines around it that show what
// its hosts knew about the endpoints it was sent to, the configuration, the store and other
// hosts. Lines are JSON objects. Text before the first brace, such as the prefix of a log
// collector, is ignored, and so are lines without an object.
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
	// contextWindow is the time before and after a request in which other lines of its hosts
	// belong to its timeline. It is slightly longer than the maximum age of a configuration or
	// a list of endpoints.
	contextWindow = 3 * time.Second
	// maxLineBytes is the length of the longest log line that can be read.
	maxLineBytes = 1 << 20
)

// ErrUnknown reports that no log line names the request.
var ErrUnknown = errors.New("no line names the request")

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Request string // ID of the request that the line concerns; empty if none
	Fields  []Field
}

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value any
}

// fieldText returns the value of a field as text, or an empty string if the line lacks it.
func (l Line) fieldText(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return fmt.Sprint(f.Value)
		}
	}
	return ""
}

// ParseLine parses a log line. It returns false if text holds no JSON object with a message.
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

// setField stores a field of the log line. Fields that every line has become fields of Line; the
// level is discarded.
func (l *Line) setField(name string, value any) {
	switch name {
	case "time":
		// A line without a valid time stays in the timeline, at its beginning.
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

// Timeline holds the log lines that concern a request.
type Timeline struct {
	Request      string
	RequestLines []Line // lines that name the request, by time
	HostLines    []Line // other lines of its hosts from around that time, by time
}

// Read builds the timeline of a request from logs.
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

// newTimeline selects the lines that belong to the timeline of a request.
func newTimeline(request string, lines []Line) (Timeline, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	t := Timeline{Request: request}
	hosts, endpoints, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			t.RequestLines = append(t.RequestLines, l)
			hosts[l.Host] = true
			endpoints[l.fieldText("endpoint")] = true
			services[l.fieldText("service")] = true
		}
	}
	if len(t.RequestLines) == 0 {
		return Timeline{}, errors.WithMessagef(ErrUnknown, "request %s", request)
	}
	from, to := t.arrival().Add(-contextWindow), t.RequestLines[len(t.RequestLines)-1].At.Add(contextWindow)
	for _, l := range lines {
		if l.Request != "" || !hosts[l.Host] || l.At.After(to) {
			continue
		}
		if services[l.fieldText("service")] && l.noticeHolds(t.arrival()) {
			t.HostLines = append(t.HostLines, l)
			continue
		}
		if l.At.Before(from) {
			continue
		}
		if id := l.fieldText("endpoint"); id == "" || endpoints[id] {
			t.HostLines = append(t.HostLines, l)
		}
	}
	return t, nil
}

// Messages of lines about what an endpoint has asked of a host.
const (
	messageLeaving = "endpoint leaves"
	messagePause   = "endpoint wants a pause"
)

// noticeHolds reports whether a line tells that an endpoint takes nothing from the host at a time.
func (l Line) noticeHolds(at time.Time) bool {
	switch l.Message {
	case messageLeaving:
		return !l.At.After(at)
	case messagePause:
		lasts := time.Duration(l.fieldNumber("for_ms") * float64(time.Millisecond))
		return !l.At.After(at) && l.At.Add(lasts).After(at)
	default:
		return false
	}
}

// arrival returns the time at which the request arrived: the time of its last line less the
// duration in it, or else the time of its first line.
func (t Timeline) arrival() time.Time {
	last := t.RequestLines[len(t.RequestLines)-1]
	if took, err := time.ParseDuration(last.fieldText("took_ms") + "ms"); err == nil {
		return last.At.Add(-took)
	}
	return t.RequestLines[0].At
}

// Write writes the timeline in readable form: all lines by time, each with the time since the
// request arrived and the request's own lines marked, then the outcome of the request.
func (t Timeline) Write(w io.Writer) error {
	arrival := t.arrival()
	all := slices.Concat(t.RequestLines, t.HostLines)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	var b strings.Builder
	for _, l := range all {
		mark := " "
		if l.Request == t.Request {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %+9.3fs %s: %s", mark, l.At.Sub(arrival).Seconds(), l.Host, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(&b, " %s=%s", f.Name, formatValue(f.Value))
		}
		b.WriteByte('\n')
	}
	last := t.RequestLines[len(t.RequestLines)-1]
	fmt.Fprintf(&b, "outcome: %s\n", outcomeOf(last))
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}

// outcomeOf returns the outcome in the last line of a request, or a note that it is missing.
func outcomeOf(last Line) string {
	if outcome := last.fieldText("outcome"); outcome != "" {
		return outcome
	}
	return "not told; the host ended, or the line was dropped"
}

// formatValue returns a value as text, quoted if it is empty or contains blanks or quotes.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\"") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
