package choose_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/choose"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/estimate"
)

var now = time.Unix(1_000_000, 0)

func candidate(model string, cost int64) config.Candidate {
	ref := declare.Ref{Model: model, Version: "1"}
	return config.Candidate{
		Ref: ref, Name: ref.String(), Since: now.Add(-time.Hour),
		Version: declare.Version{Name: "1", State: declare.StateServing, OutputCost: cost, Quality: 0.5},
	}
}

// estimates returns a table in which each model has the given mean over many ratings.
func estimates(means map[string]float64) estimate.Table {
	var entries []estimate.Entry
	for model, mean := range means {
		entries = append(entries, estimate.Entry{
			Workspace: "w", Class: "c", Version: declare.Ref{Model: model, Version: "1"},
			Score: estimate.Score{Count: 5000, Mean: mean, SquaredDeviations: 5000 * mean * (1 - mean)},
		})
	}
	return estimate.NewTable(entries)
}

func input(means map[string]float64, random float64) choose.Input {
	return choose.Input{
		Candidates: []config.Candidate{
			candidate("cheap", 1),
			candidate("middle", 5),
			candidate("dear", 20),
		},
		Workspace: "w", Class: "c", Target: 0.8, Estimates: estimates(means), Now: now, Random: random, Proven: time.Minute,
	}
}

var picks = map[string]struct {
	means  map[string]float64
	random float64
	model  string
	reason choose.Reason
}{
	"the cheapest that meets the target":        {map[string]float64{"cheap": 0.9, "middle": 0.95, "dear": 0.99}, 0.5, "cheap", choose.ReasonCheapest},
	"the best when none meets it":               {map[string]float64{"cheap": 0.3, "middle": 0.6, "dear": 0.7}, 0.5, "dear", choose.ReasonBest},
	"the cheap part of a mix":                   {map[string]float64{"cheap": 0.75, "middle": 0.5, "dear": 0.95}, 0.1, "cheap", choose.ReasonMix},
	"the dear part of a mix":                    {map[string]float64{"cheap": 0.75, "middle": 0.5, "dear": 0.95}, 0.99, "dear", choose.ReasonMix},
	"a cheaper one that is not known, a little": {map[string]float64{"middle": 0.95, "dear": 0.99}, 0.001, "cheap", choose.ReasonExplore},
}

var _ = Describe("a choice for a task class", func() {
	for name, p := range picks {
		It("takes "+name, func() {
			d, err := choose.Pick(input(p.means, p.random))
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Candidate.Ref.Model).To(Equal(p.model))
			Expect(d.Reason).To(Equal(p.reason))
		})
	}

	It("never takes a version that is not in service", func() {
		in := input(map[string]float64{"cheap": 0.9}, 0.5)
		for _, state := range []declare.State{declare.StateStaged, declare.StateRetired, declare.StateWithdrawn, declare.StateCanary} {
			in.Candidates[0].Version.State = state
			d, err := choose.Pick(in)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Candidate.Ref.Model).NotTo(Equal("cheap"))
		}
	})
})

var _ = Describe("a choice for a model", func() {
	credit := func(declare.Ref) bool { return true }

	It("takes a version in roll-out only with a credit, and not when stale", func() {
		in := input(nil, 0)
		in.Class = ""
		in.Candidates[2].Version.State = declare.StateCanary
		d, err := choose.Pick(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Candidate.Ref.Model).To(Equal("middle"))
		in.Credit = credit
		d, err = choose.Pick(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Candidate.Ref.Model).To(Equal("dear"))
		Expect(d.Canary).To(BeTrue())
		in.Stale = true
		d, err = choose.Pick(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Canary).To(BeFalse())
	})

	It("takes only proven versions when the configuration is stale", func() {
		in := input(nil, 0)
		in.Class, in.Stale = "", true
		in.Candidates[2].Since = now.Add(-time.Second)
		d, err := choose.Pick(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Candidate.Ref.Model).To(Equal("middle"))
		in.Candidates = in.Candidates[2:]
		_, err = choose.Pick(in)
		Expect(err).To(MatchError(choose.ErrNoVersion))
	})
})

func BenchmarkPick13Versions(b *testing.B) {
	in := input(nil, 0.5)
	in.Candidates = nil
	means := map[string]float64{}
	for i := range 13 {
		model := string(rune('a' + i))
		in.Candidates = append(in.Candidates, candidate(model, int64(i+1)))
		means[model] = 0.5 + float64(i)/26
	}
	in.Estimates = estimates(means)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := choose.Pick(in); err != nil {
			b.Fatal(err)
		}
	}
}
