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

// ignoresSuspension are the functions whose elapsed or remaining times don't include the time for
// which the machine was suspended.
var ignoresSuspension = map[string]bool{"time.Now": true, "time.Since": true, "time.Until": true, "context.WithDeadline": true}

// mayIgnoreSuspension lists files and folders that may use these functions, with the reason.
var mayIgnoreSuspension = map[string]string{
	"internal/clock/":                "implements Instant with them",
	"internal/standin/":              "simulates the environment of hosts, which is not suspended",
	"platform/standin/":              "simulates the environment of hosts, which is not suspended",
	"internal/soak/":                 "simulates the environment of hosts, which is not suspended",
	"internal/load/":                 "a measurement tool",
	"internal/measure/":              "a measurement tool",
	"internal/demo/":                 "a demonstration tool",
	"internal/cli/standin.go":        "a tool; uses the wall clock time of ratings",
	"internal/billing/entry.go":      "stored wall clock times",
	"internal/billing/ledger.go":     "stored wall clock times",
	"internal/billing/held.go":       "stored wall clock times; a bill that opened before a suspension waits longer",
	"internal/config/log.go":         "stored wall clock times",
	"internal/daemon/duties.go":      "a certificate expires at a wall clock time",
	"internal/duty/ask.go":           "the wall clock time that this host reports",
	"internal/entry/jobs.go":         "the wall clock time at which a job is due",
	"internal/entry/sink.go":         "times that the runtime waits for during writes",
	"internal/job/":                  "the wall clock times at which jobs are due and end",
	"internal/once/":                 "stored wall clock times; a claim made before a suspension waits longer",
	"internal/operator/queries.go":   "wall clock times of listed requests",
	"internal/pipeline/choose.go":    "wall clock times at which sessions open",
	"internal/pipeline/pipeline.go":  "logged duration of a request",
	"internal/pipeline/record.go":    "logged duration of a request",
	"internal/rollout/controller.go": "stored wall clock times",
	"internal/rollout/credits.go":    "stored wall clock times",
}

// TestElapsedTimeCountsSuspension finds uses of a clock that stops while the machine is suspended.
// With such a clock, data from before a suspension looked as fresh as if no time had passed, and
// endpoints were given time that had already passed.
func TestElapsedTimeCountsSuspension(t *testing.T) {
	used := map[string]bool{}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir("../../"+dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return checkSuspensionUse(t, strings.TrimPrefix(filepath.ToSlash(path), "../../"), used)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for path := range mayIgnoreSuspension {
		if !used[path] {
			t.Errorf("%s: exemption is no longer needed", path)
		}
	}
}

// checkSuspensionUse checks a file. If an entry of mayIgnoreSuspension exempts the file, it adds the
// entry to used.
func checkSuspensionUse(t *testing.T, path string, used map[string]bool) error {
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
		t.Errorf("%s: %s.%s does not count suspensions of the machine; see clock.Instant", fileSet.Position(selected.Pos()), pkg.Name, selected.Sel.Name)
		return true
	})
	return nil
}
