// Package console implements the query and command language of operators: it parses statements,
// and filters, groups and prints the rows that answer queries.
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
// commands and quarantine. Syntax errors give the column of the error.
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

// Move changes the state of a version.
type Move struct {
	Version declare.Ref
	To      declare.State
}

// Hold pauses a rollout plan, or resumes it if Held is false.
type Hold struct {
	Plan string
	Held bool
}

// Release removes a request from quarantine.
type Release struct{ Fingerprint string }

// Show queries the rows of a subject.
type Show struct {
	Subject Subject
	Where   []Condition
	Since   time.Duration // how far back to look; 0 means the default of the query
	By      string        // field to group by; empty for no grouping
	Limit   int           // 0 means no limit
}

func (Move) statement()    {}
func (Hold) statement()    {}
func (Release) statement() {}
func (Show) statement()    {}

// Subject is the kind of object that a query lists.
type Subject string

// The subjects of queries.
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

// Subjects lists all subjects in the order of the help text and of error messages.
var Subjects = []Subject{
	SubjectRequests, SubjectVersions, SubjectSessions, SubjectHosts, SubjectEndpoints,
	SubjectBills, SubjectJobs, SubjectRollouts, SubjectCommands, SubjectQuarantine,
}

// Operator is a comparison operator of a Condition.
type Operator string

// The comparison operators.
const (
	OperatorEqual    Operator = "="
	OperatorNotEqual Operator = "!="
	OperatorLess     Operator = "<"
	OperatorGreater  Operator = ">"
)

// Condition is one comparison of a where clause.
type Condition struct {
	Field    string
	Operator Operator
	Value    string
}

// ErrSyntax matches every error that Parse returns.
var ErrSyntax = errors.New("syntax error")

// SyntaxError describes a syntax error and its column.
type SyntaxError struct {
	Text   string
	Column int // 1-based
	Reason string
}

// Error returns the reason and the text, with a caret under the column.
func (e *SyntaxError) Error() string {
	mark := strings.Repeat(" ", max(e.Column-1, 0)) + "^"
	return fmt.Sprintf("column %d: %s\n  %s\n  %s", e.Column, e.Reason, e.Text, mark)
}

// Unwrap makes a SyntaxError match ErrSyntax.
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

// tokenRules defines the tokens of the language.
var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"|'[^']*'`},
	{Name: "Operator", Pattern: `!=|=|<|>`},
	{Name: "Word", Pattern: `[a-zA-Z0-9_.@:/-]+`},
	{Name: "space", Pattern: `\s+`},
})

// grammar is the root of the grammar: one statement.
type grammar struct {
	Move    *moveNode    `parser:"  @@"`
	Hold    *holdNode    `parser:"| @@"`
	Release *releaseNode `parser:"| @@"`
	Show    *showNode    `parser:"| @@"`
}

type moveNode struct {
	Verb    string `parser:"@('stage' | 'canary' | 'serve' | 'retire' | 'withdraw')"`
	Version string `parser:"@(Word | String)"`
}

type holdNode struct {
	Verb string `parser:"@('hold' | 'resume')"`
	Plan string `parser:"@(Word | String)"`
}

type releaseNode struct {
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

var parser = participle.MustBuild[grammar](participle.Lexer(tokenRules), participle.UseLookahead(2))

// stateForVerb maps each verb of a Move to the state that it sets.
var stateForVerb = map[string]declare.State{
	"stage":    declare.StateStaged,
	"canary":   declare.StateCanary,
	"serve":    declare.StateServing,
	"retire":   declare.StateRetired,
	"withdraw": declare.StateWithdrawn,
}

// Parse parses one statement. Its errors are SyntaxErrors.
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
	case parsed.Release != nil:
		return Release{Fingerprint: unquote(parsed.Release.Fingerprint)}, nil
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

// errorAt returns a SyntaxError at the first occurrence of word in text.
func errorAt(text, word, format string, args ...any) error {
	return &SyntaxError{Text: text, Column: strings.Index(text, word) + 1, Reason: fmt.Sprintf(format, args...)}
}

func unquote(s string) string { return strings.Trim(s, `"'`) }

func (m *moveNode) statement(text string) (Statement, error) {
	ref := declare.ParseRef(unquote(m.Version))
	if ref.Model == "" || ref.Version == "" {
		return nil, errorAt(text, m.Version, "%s needs a version, written model@version", m.Verb)
	}
	return Move{Version: ref, To: stateForVerb[m.Verb]}, nil
}

func (s *showNode) statement(text string) (Statement, error) {
	show := Show{Subject: Subject(s.Subject), By: s.By}
	if !isSubject(show.Subject) {
		return nil, errorAt(text, s.Subject, "%q is not a subject of show: use one of %s", s.Subject, subjectList())
	}
	for _, w := range s.Where {
		show.Where = append(show.Where, Condition{Field: w.Field, Operator: Operator(w.Operator), Value: unquote(w.Value)})
	}
	if s.Since != "" {
		d, err := time.ParseDuration(s.Since)
		if err != nil || d <= 0 {
			return nil, errorAt(text, s.Since, "%q is not a duration: write 30s, 5m or 2h", s.Since)
		}
		show.Since = d
	}
	if s.Limit != "" {
		n, err := strconv.Atoi(s.Limit)
		if err != nil || n < 1 {
			return nil, errorAt(text, s.Limit, "%q is not a positive integer", s.Limit)
		}
		show.Limit = n
	}
	return show, nil
}

func isSubject(s Subject) bool {
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
