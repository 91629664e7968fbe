package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// ignoresSuspension are the functions by which an age, or the time that is left, does not count what
// the machine was suspended.
var ignoresSuspension = map[string]bool{"time.Now": true, "time.Since": true, "time.Until": true, "context.WithDeadline": true}

// mayIgnoreSuspension are files and folders that may use them, and why.
var mayIgnoreSuspension = map[string]string{
	"internal/clock/":                "makes Instants of them",
	"internal/standin/":              "the world around hosts, which is not suspended",
	"platform/standin/":              "the world around hosts, which is not suspended",
	"internal/soak/":                 "the world around hosts, which is not suspended",
	"internal/load/":                 "a tool that measures",
	"internal/measure/":              "a tool that measures",
	"internal/demo/":                 "a tool that shows",
	"internal/cli/standin.go":        "a tool: the time of day of ratings",
	"internal/billing/entry.go":      "the time of day, as it is kept",
	"internal/billing/ledger.go":     "the time of day, as it is kept",
	"internal/billing/held.go":       "the time of day, as it is kept; a bill that opened before a suspension waits longer",
	"internal/config/log.go":         "the time of day, as it is kept",
	"internal/daemon/duties.go":      "a certificate's end is a time of day",
	"internal/duty/ask.go":           "the time of day that this host shows",
	"internal/entry/jobs.go":         "the time of day at which a job is due",
	"internal/entry/sink.go":         "what the runtime waits for while it writes",
	"internal/job/":                  "the time of day at which jobs are due and end",
	"internal/once/":                 "the time of day, as it is kept; a claim before a suspension waits longer",
	"internal/operator/queries.go":   "the time of day of requests that are listed",
	"internal/pipeline/choose.go":    "the time of day at which sessions open",
	"internal/pipeline/pipeline.go":  "how long a request took, for the log",
	"internal/pipeline/record.go":    "how long a request took, for the log",
	"internal/rollout/controller.go": "the time of day, as it is kept",
	"internal/rollout/credits.go":    "the time of day, as it is kept",
}

// TestElapsedTimeCountsSuspension finds what goes by a clock that stands still while the machine is
// suspended: what was learnt before looked as fresh as if nothing had happened meanwhile, and
// endpoints were given time that had passed.
func TestElapsedTimeCountsSuspension(t *testing.T) {
	used := map[string]bool{}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir("../../"+dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return checkAges(t, strings.TrimPrefix(filepath.ToSlash(path), "../../"), used)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for path := range mayIgnoreSuspension {
		if !used[path] {
			t.Errorf("%s need not be allowed to any more", path)
		}
	}
}

// checkAges checks a file, and notes by what entry of mayStandStill it is allowed.
func checkAges(t *testing.T, path string, used map[string]bool) error {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, "../../"+path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		selected, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, ok := selected.X.(*ast.Ident)
		if !ok || !ignoresSuspension[pkg.Name+"."+selected.Sel.Name] {
			return true
		}
		for _, entry := range []string{path, filepath.ToSlash(filepath.Dir(path)) + "/", "internal/standin/"} {
			if mayIgnoreSuspension[entry] != "" && strings.HasPrefix(path, entry) {
				used[entry] = true
				return true
			}
		}
		t.Errorf("%s: %s.%s stands still while the machine is suspended; see clock.Instant", fileSet.Position(selected.Pos()), pkg.Name, selected.Sel.Name)
		return true
	})
	return nil
}
