package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// wallClockMethods are the methods that make a number of the time of day; what goes by it
// moves when that jumps. Differences of times go by the steady clock.
var wallClockMethods = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true}

// mayUseWallClock are files that tell or keep a moment for people or for other
// hosts, and decide nothing by it on the way of a routed request.
var mayUseWallClock = map[string]string{
	"internal/entry/entry.go": "the list of models tells when each was made",
	"internal/job/job.go":     "jobs are due at a time of day that all hosts share",
	"internal/usage/usage.go": "windows of the time of day that most hosts agree on, whatever a single one's does",
	"internal/duty/grpc.go":   "what time of day a host shows, and which one most hosts agree on",
}

// TestNothingGoesByTheTimeOfDay finds deadlines, windows and ages that would move
// when the time of day jumps: it looks for what turns a time into one of day.
func TestNothingGoesByTheTimeOfDay(t *testing.T) {
	for _, dir := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return checkWallClock(t, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func checkWallClock(t *testing.T, path string) error {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	if mayUseWallClock[strings.TrimPrefix(filepath.ToSlash(path), "../../")] != "" {
		return nil
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !wallClockMethods[method.Sel.Name] {
			return true
		}
		if pkg, ok := method.X.(*ast.Ident); ok && pkg.Name == "time" {
			return true // makes a time of a number
		}
		t.Errorf("%s: %s goes by the time of day", fileSet.Position(n.Pos()), method.Sel.Name)
		return true
	})
	return nil
}

func TestSteadyStartsAtZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSteady()
		time.Sleep(3 * time.Second)
		if c.Now() != 3*time.Second {
			t.Errorf("%s", c.Now())
		}
	})
}
