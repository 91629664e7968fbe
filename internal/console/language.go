// Package console is the operators' query and command language.
//
// # Usage
//
//	statement, err := console.Parse(`show requests where workspace = "clerks" since 5m by version`)
//	switch s := statement.(type) {
//	case console.Show: ...
//	case console.Move: ...
//	}
//
// Commands:
//
//	stage|canary|serve|retire|withdraw MODEL@VERSION
//	hold|resume PLAN
//	release FINGERPRINT
//	show SUBJECT [where FIELD OP VALUE [and ...]] [since DURATION] [by FIELD] [limit N]
//
// Subjects are requests, versions, sessions, hosts, endpoints, bills, jobs, rollouts,
// commands and quarantine. Errors point at the column.
package console

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
)

// Statement is a parsed command or query: a Move, a Hold, a Release or a Show.
type Statement interface{ statement() }

// Move takes a version to another state.
type Move struct {
	Version declare.Ref
	To      declare.State
}

// Hold holds a plan or lets it go on.
type Hold struct {
	Plan string
	Held bool
}

// Release lets a request out of quarantine.
type Release struct{ Fingerprint string }

// Show is a query.
type Show struct {
	Subject Subject
	Where   []Condition
	Since   time.Duration // 0 means all that is known
	By      string        // group by this field; empty lists rows
	Limit   int           // 0 means no limit
}

func (Move) statement()    {}
func (Hold) statement()    {}
func (Release) statement() {}
func (Show) statement()    {}

// Subject is what a query lists.
type Subject string

// Subjects.
const (
	SubjectRequests   Subject = "requests"
	SubjectVersions   Subject = "versions"
	SubjectSessions   Subject = "sessions"
	SubjectHosts      Subject = "hosts"
	SubjectEndpoints  Subject = "endpoints"
	SubjectBills      Subject = "bills"
	SubjectJobs       Subject = "jobs"
	SubjectRollouts   Subject = "rollouts"
	SubjectCommands   Subject = "commands"
	SubjectQuarantine Subject = "quarantine"
)

// Subjects lists all subjects in the order of the help.
var Subjects = []Subject{
	SubjectRequests, SubjectVersions, SubjectSessions, SubjectHosts, SubjectEndpoints,
	SubjectBills, SubjectJobs, SubjectRollouts, SubjectCommands, SubjectQuarantine,
}

// Operator compares a field with a value.
type Operator string

// Operators.
const (
	OperatorEqual    Operator = "="
	OperatorNotEqual Operator = "!="
	OperatorLess     Operator = "<"
	OperatorGreater  Operator = ">"
)

// Condition is one part of a where.
type Condition struct {
	Field    string
	Operator Operator
	Value    string
}

// ErrSyntax is matched by every error of Parse.
var ErrSyntax = errors.New("syntax error")

// SyntaxError points at the column of a mistake.
type SyntaxError struct {
	Text   string
	Column int // counted from 1
	Reason string
}

// Error shows the text with a mark under the column.
func (e *SyntaxError) Error() string {
	mark := strings.Repeat(" ", max(e.Column-1, 0)) + "^"
	return fmt.Sprintf("column %d: %s\n  %s\n  %s", e.Column, e.Reason, e.Text, mark)
}

// Unwrap makes a SyntaxError match ErrSyntax.
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

// definition is the language's tokens.
var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"|'[^']*'`},
	{Name: "Operator", Pattern: `!=|=|<|>`},
	{Name: "Word", Pattern: `[a-zA-Z0-9_.@:/-]+`},
	{Name: "space", Pattern: `\s+`},
})

// line is the grammar.
type line struct {
	Move *moveNode `parser:"  @@"`
	Hold *holdNode `parser:"| @@"`
	Free *freeNode `parser:"| @@"`
	Show *showNode `parser:"| @@"`
}

type moveNode struct {
	Verb    string `parser:"@('stage' | 'canary' | 'serve' | 'retire' | 'withdraw')"`
	Version string `parser:"@(Word | String)"`
}

type holdNode struct {
	Verb string `parser:"@('hold' | 'resume')"`
	Plan string `parser:"@(Word | String)"`
}

type freeNode struct {
	Fingerprint string `parser:"'release' @(Word | String)"`
}

type showNode struct {
	Pos     lexer.Position
	Subject string      `parser:"'show' @Word"`
	Where   []whereNode `parser:"('where' @@ ('and' @@)*)?"`
	Since   string      `parser:"('since' @Word)?"`
	By      string      `parser:"('by' @Word)?"`
	Limit   string      `parser:"('limit' @Word)?"`
}

type whereNode struct {
	Pos      lexer.Position
	Field    string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word | String)"`
}

var parser = participle.MustBuild[line](participle.Lexer(definition), participle.UseLookahead(2))

// states that the verbs move a version to.
var states = map[string]declare.State{
	"stage":    declare.StateStaged,
	"canary":   declare.StateCanary,
	"serve":    declare.StateServing,
	"retire":   declare.StateRetired,
	"withdraw": declare.StateWithdrawn,
}

// Parse reads one statement.
func Parse(text string) (Statement, error) {
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	switch {
	case parsed.Move != nil:
		return parsed.Move.statement(text)
	case parsed.Hold != nil:
		return Hold{Plan: unquote(parsed.Hold.Plan), Held: parsed.Hold.Verb == "hold"}, nil
	case parsed.Free != nil:
		return Release{Fingerprint: unquote(parsed.Free.Fingerprint)}, nil
	default:
		return parsed.Show.statement(text)
	}
}

func syntaxError(text string, err error) error {
	var p participle.Error
	if errors.As(err, &p) {
		return &SyntaxError{Text: text, Column: p.Position().Column, Reason: p.Message()}
	}
	return &SyntaxError{Text: text, Column: 1, Reason: err.Error()}
}

// at points at a word of the text.
func at(text, word, format string, args ...any) error {
	return &SyntaxError{Text: text, Column: strings.Index(text, word) + 1, Reason: fmt.Sprintf(format, args...)}
}

func unquote(s string) string { return strings.Trim(s, `"'`) }

func (m *moveNode) statement(text string) (Statement, error) {
	ref := declare.ParseRef(unquote(m.Version))
	if ref.Model == "" || ref.Version == "" {
		return nil, at(text, m.Version, "%s needs a version, written model@version", m.Verb)
	}
	return Move{Version: ref, To: states[m.Verb]}, nil
}

func (s *showNode) statement(text string) (Statement, error) {
	show := Show{Subject: Subject(s.Subject), By: s.By}
	if !known(show.Subject) {
		return nil, at(text, s.Subject, "%q is not something to show: use %s", s.Subject, subjectList())
	}
	for _, w := range s.Where {
		show.Where = append(show.Where, Condition{Field: w.Field, Operator: Operator(w.Operator), Value: unquote(w.Value)})
	}
	if s.Since != "" {
		d, err := time.ParseDuration(s.Since)
		if err != nil || d <= 0 {
			return nil, at(text, s.Since, "%q is not a duration: write 30s, 5m or 2h", s.Since)
		}
		show.Since = d
	}
	if s.Limit != "" {
		n, err := strconv.Atoi(s.Limit)
		if err != nil || n < 1 {
			return nil, at(text, s.Limit, "%q is not a count above 0", s.Limit)
		}
		show.Limit = n
	}
	return show, nil
}

func known(s Subject) bool {
	for _, k := range Subjects {
		if k == s {
			return true
		}
	}
	return false
}

func subjectList() string {
	names := make([]string, len(Subjects))
	for i, s := range Subjects {
		names[i] = string(s)
	}
	return strings.Join(names, ", ")
}
