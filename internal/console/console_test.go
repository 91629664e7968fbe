package console_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"quaybarrow/internal/console"
	"quaybarrow/internal/declare"
)

var statements = map[string]console.Statement{
	"withdraw support@7": console.Move{Version: declare.Ref{Model: "support", Version: "7"}, To: declare.StateWithdrawn},
	"canary a@1":         console.Move{Version: declare.Ref{Model: "a", Version: "1"}, To: declare.StateCanary},
	"hold plan-1":        console.Hold{Plan: "plan-1", Held: true},
	"resume plan-1":      console.Hold{Plan: "plan-1"},
	"release 9f2a":       console.Release{Fingerprint: "9f2a"},
	"show hosts":         console.Show{Subject: console.SubjectHosts},
	`show requests where workspace = "clerks" and total_ms > 100 since 5m by version limit 3`: console.Show{
		Subject: console.SubjectRequests, Since: 5 * time.Minute, By: "version", Limit: 3,
		Where: []console.Condition{
			{Field: "workspace", Operator: console.OperatorEqual, Value: "clerks"},
			{Field: "total_ms", Operator: console.OperatorGreater, Value: "100"},
		},
	},
}

// errorColumns maps invalid statements to the column that the error must report.
var errorColumns = map[string]int{
	"withdraw":                         9,
	"withdraw support":                 10,
	"show everything":                  6,
	"show hosts since yesterday":       18,
	"show hosts limit 0":               18,
	"show requests where workspace":    30,
	"destroy support@7":                1,
	"show requests where = x":          21,
	"withdraw support@7 and all of it": 20,
}

var _ = Describe("the console language", func() {
	for text, want := range statements {
		It("parses: "+text, func() {
			Expect(console.Parse(text)).To(Equal(want))
		})
	}
	for text, column := range errorColumns {
		It("reports the column of the error in: "+text, func() {
			_, err := console.Parse(text)
			Expect(err).To(MatchError(console.ErrSyntax))
			var syntax *console.SyntaxError
			Expect(err).To(BeAssignableToTypeOf(syntax))
			Expect(func() *console.SyntaxError {
				target := &console.SyntaxError{}
				_ = errors.As(err, &target)
				return target
			}().Column).To(Equal(column), err.Error())
		})
	}
})

var _ = Describe("rows", func() {
	rows := []console.Row{
		{{Name: "version", Value: "a@1"}, {Name: "tokens", Value: 10}, {Name: "total_ms", Value: 4.0}},
		{{Name: "version", Value: "a@2"}, {Name: "tokens", Value: 30}, {Name: "total_ms", Value: 8.0}},
		{{Name: "version", Value: "a@1"}, {Name: "tokens", Value: 5}, {Name: "total_ms", Value: 6.0}},
	}

	It("are filtered numerically if both values are numbers", func() {
		got, err := console.Apply(console.Show{Where: []console.Condition{{Field: "tokens", Operator: console.OperatorGreater, Value: "9"}}}, rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(2))
	})

	It("are grouped with counts, totals and mean times", func() {
		got, err := console.Apply(console.Show{By: "version"}, rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(console.Text(got)).To(Equal("VERSION  COUNT  TOKENS  TOTAL_MS\na@1      2      15      5\na@2      1      30      8\n"))
	})

	It("that lack a requested field cause an error that lists the fields", func() {
		_, err := console.Apply(console.Show{Subject: console.SubjectRequests, By: "colour"}, rows)
		Expect(err).To(MatchError(And(ContainSubstring("colour"), ContainSubstring("tokens"))))
	})
})

func FuzzParse(f *testing.F) {
	for text := range statements {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := console.Parse(text)
		if err == nil && statement == nil {
			t.Error("neither a statement nor an error")
		}
		if err != nil && !strings.Contains(err.Error(), "column") {
			t.Errorf("error without a column: %v", err)
		}
	})
}
