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

// wallClockMethods are the methods that convert wall clock time to a number. Results computed from
// it shift when the wall clock jumps; differences of time.Time values use the monotonic clock.
var wallClockMethods = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true}

// mayUseWallClock lists files that report or store a wall clock time for people or for other hosts,
// and base no decision about a routed request on it, with the reason.
var mayUseWallClock = map[string]string{
	"internal/entry/entry.go": "the list of models shows the creation time of each",
	"internal/job/job.go":     "due times of jobs are wall clock times that all hosts share",
	"internal/usage/usage.go": "usage windows follow the wall clock time that most hosts agree on, whatever the clock of a single host shows",
	"internal/duty/grpc.go":   "reports the wall clock time of a host and the one that most hosts agree on",
}

// TestNothingGoesByTheTimeOfDay guards against deadlines, windows and ages that shift when the wall
// clock jumps: it finds conversions of times to wall clock numbers.
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
			return true // converts a number to a time
		}
		t.Errorf("%s: %s depends on the wall clock", fileSet.Position(n.Pos()), method.Sel.Name)
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
