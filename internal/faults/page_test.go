package faults_test

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pageFile is where the matrix is shown; updateVariable has it written anew.
const (
	pageFile       = "../../docs/FAULTS.md"
	updateVariable = "UPDATE_FAULTS"
)

// cell names a place of the matrix.
type cell struct{ row, column string }

// pageRecord gathers what the page shows.
type pageRecord struct {
	mu      sync.Mutex // guards all below
	reasons map[cell]string
	wanted  map[cell]int
	done    map[cell]int
}

var page = &pageRecord{reasons: map[cell]string{}, wanted: map[cell]int{}, done: map[cell]int{}}

func (p *pageRecord) absent(row, column, reason string) { p.reasons[cell{row, column}] = reason }

func (p *pageRecord) planned(row, column string, _ int) { p.wanted[cell{row, column}]++ }

func (p *pageRecord) passed(row, column string, _ int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done[cell{row, column}]++
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// text is the page.
func (p *pageRecord) text() string {
	columns, rows := sortedKeys(faultColumns), sortedKeys(stepRows)
	var b strings.Builder
	b.WriteString("# The fault matrix\n\nMade by `UPDATE_FAULTS=1 go test ./internal/faults` from the cells that ran; CI fails when it differs.\n")
	b.WriteString("Each cell runs whole hosts under a paused clock with the fault at the step, once and twice in a row,\n")
	b.WriteString("heals it, and judges the recorded history by the ten promises (package `check`).\n")
	b.WriteString("A number counts the runs that passed; a letter stands for the reason why the fault can't occur there.\n\n")
	letters := map[string]string{}
	b.WriteString("| step | " + strings.Join(columns, " | ") + " |\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
	ran, absent := 0, 0
	for _, row := range rows {
		b.WriteString("| " + row + " |")
		for _, column := range columns {
			c := cell{row, column}
			if reason, ok := p.reasons[c]; ok {
				if letters[reason] == "" {
					letters[reason] = string(rune('a' + len(letters)))
				}
				b.WriteString(" " + letters[reason] + " |")
				absent++
				continue
			}
			fmt.Fprintf(&b, " %d |", p.done[c])
			ran += p.done[c]
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "\n%d runs passed; %d cells can't occur:\n\n", ran, absent)
	for _, reason := range sortedKeys(letters) {
		fmt.Fprintf(&b, "- %s: %s.\n", letters[reason], reason)
	}
	b.WriteString("\nFaults with tests of their own beside the matrix:\n\n")
	b.WriteString("- Two operators at once: `internal/config` (two commands decided on one revision; a history of racing commands checked by porcupine).\n")
	b.WriteString("- A lease's clock ahead or behind: no clock of one host is ever compared with another's; `internal/lease` shows a holder that was paused and one whose table row was written late.\n")
	b.WriteString("- `net/http` sending a call again: `internal/dispatch` breaks a kept connection at each byte of a request and of its answer.\n")
	return b.String()
}

// complete reports whether every planned cell ran and passed.
func (p *pageRecord) complete() bool {
	for c, n := range p.wanted {
		if p.done[c] != n {
			return false
		}
	}
	return true
}

var _ = AfterSuite(func() {
	if !page.complete() {
		return // a cell failed, or only some were run
	}
	if os.Getenv(updateVariable) != "" {
		Expect(os.WriteFile(pageFile, []byte(page.text()), 0o644)).To(Succeed())
		return
	}
	written, err := os.ReadFile(pageFile)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(written)).To(Equal(page.text()), "docs/FAULTS.md is not what ran")
})
