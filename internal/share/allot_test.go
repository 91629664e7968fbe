package share_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/share"
)

func class(workspace string, urgency int) share.Class {
	return share.Class{Workspace: workspace, Urgency: urgency}
}

// tolerance is the relative error of sums of floating-point numbers.
const tolerance = 1e-9

var _ = Describe("Allot", func() {
	type demand = map[share.Class]float64
	a, b, c := class("a", 1), class("b", 1), class("c", 1)
	for name, t := range map[string]struct {
		capacity  float64
		demand    demand
		weights   map[string]float64
		fractions demand // of all classes
	}{
		"all is admitted within capacity":          {10, demand{a: 4, b: 6}, nil, demand{a: 1, b: 1}},
		"all is admitted if no capacity is known":  {0, demand{a: 4, b: 6}, nil, demand{a: 1, b: 1}},
		"one that asks for little gets all of it":  {10, demand{a: 2, b: 16}, nil, demand{a: 1, b: 0.5}},
		"unused parts go to others":                {12, demand{a: 1, b: 8, c: 11}, nil, demand{a: 1, b: 5.5 / 8, c: 0.5}},
		"weights count":                            {9, demand{a: 12, b: 12}, map[string]float64{"a": 2}, demand{a: 0.5, b: 0.25}},
		"a weight that can't be right counts as 1": {8, demand{a: 8, b: 8}, map[string]float64{"a": -1}, demand{a: 0.5, b: 0.5}},
		"a large one gets a third at least": {
			10, demand{a: 90, b: 3, c: 3, class("d", 1): 3, class("e", 1): 1}, nil,
			demand{a: 10.0 / 300, b: 2.0 / 3, c: 2.0 / 3, class("d", 1): 2.0 / 3, class("e", 1): 1},
		},
		"more urgent classes come first":          {10, demand{a: 6, class("a", 2): 8}, nil, demand{a: 1, class("a", 2): 0.5}},
		"a less urgent class keeps a tenth":       {10, demand{a: 18, class("a", 5): 4}, nil, demand{a: 0.5, class("a", 5): 0.25}},
		"a less urgent class keeps what it needs": {10, demand{a: 19, class("a", 5): 0.5}, nil, demand{a: 0.5, class("a", 5): 1}},
		"no demand is no claim":                   {10, demand{a: 20, b: 0}, nil, demand{a: 0.5, b: 1}},
	} {
		It(name, func() {
			allotment := share.Allot(t.capacity, t.demand, func(w string) float64 {
				if f, ok := t.weights[w]; ok {
					return f
				}
				return 1
			})
			for c, f := range t.fractions {
				Expect(allotment.Fraction(c)).To(BeNumerically("~", f, tolerance), fmt.Sprint(c))
			}
		})
	}

	It("divides any demand fairly", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := rapid.Float64Range(0.01, 100).Draw(t, "capacity")
			weights := map[string]float64{}
			asked := demand{}
			for w := range rapid.IntRange(1, 12).Draw(t, "workspaces") {
				name := fmt.Sprint("w", w)
				weights[name] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
				for _, u := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 10, rapid.ID[int]).Draw(t, "urgencies") {
					asked[class(name, u)] = rapid.Float64Range(0.001, 1000).Draw(t, "demand")
				}
			}
			allotment := share.Allot(capacity, asked, func(w string) float64 { return weights[w] })

			// The order of the input must not matter, or hosts would get other fractions at each division.
			again := demand{}
			for c, d := range asked {
				again[c] = d
			}
			if other := share.Allot(capacity, again, func(w string) float64 { return weights[w] }); fmt.Sprint(other) != fmt.Sprint(allotment) {
				t.Fatalf("%v for the same demand as %v", other, allotment)
			}

			total, allWeights := 0.0, 0.0
			admitted, askedBy := map[string]float64{}, map[string]float64{}
			for c, d := range asked {
				f := allotment.Fraction(c)
				if f <= 0 || f > 1 {
					t.Fatalf("fraction %v for class %v", f, c)
				}
				admitted[c.Workspace] += f * d
				askedBy[c.Workspace] += d
				total += d
			}
			for _, w := range weights {
				allWeights += w
			}
			sum := 0.0
			for w, d := range askedBy {
				sum += admitted[w]
				if admitted[w] < d*min(1, capacity/total/3)*(1-tolerance) {
					t.Fatalf("%s gets %v of %v, less than a third of %v / %v", w, admitted[w], d, capacity, total)
				}
				// The third of capacity / demand of large workspaces is the only thing that precedes this part.
				if d <= capacity*2/3*weights[w]/allWeights && admitted[w] < d*(1-tolerance) {
					t.Fatalf("%s gets %v of %v", w, admitted[w], d)
				}
			}
			if sum > max(capacity, 0)*(1+tolerance) || sum < min(capacity, total)*(1-tolerance) {
				t.Fatalf("%v admitted of %v with a capacity of %v", sum, total, capacity)
			}
		})
	})
})

var _ = Describe("Capacity", func() {
	plainCapacity := share.NewCapacity().WithSupply(share.Supply{Endpoints: 1, Parallel: 6})
	for name, t := range map[string]struct {
		capacity     share.Capacity
		observations []share.Observation
		factor       float64
		cutting      bool
	}{
		"a demand that is served with free room is no reason to refuse": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 15, Admitted: 15, Arrivals: 100, Occupancy: 0.7}}, 1.25, false,
		},
		"a few rejections with free room are no reason to refuse": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 15, Admitted: 15, Arrivals: 100, Rejections: 2, Occupancy: 0.7}}, 1.25, false,
		},
		"full endpoints serve what they do not reject": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 16, Admitted: 16, Arrivals: 100, Rejections: 50, Occupancy: 3}}, 0.76, true,
		},
		"the factor at most halves in one step": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 16, Admitted: 16, Arrivals: 100, Rejections: 99, Occupancy: 3}}, 0.5, true,
		},
		"load that hosts still admit by older fractions is not counted against the factor": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 20, Admitted: 20, Arrivals: 100, Occupancy: 3}}, 1, true,
		},
		"full endpoints lower the factor": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 20, Admitted: 10, Arrivals: 100, Occupancy: 3}}, 0.9, true,
		},
		"waiting requests at engines lower the factor": {
			share.NewCapacity(), []share.Observation{{Supply: 10, Demand: 20, Admitted: 10, Arrivals: 100, Occupancy: 1.05}}, 0.97, true,
		},
		"rejections lower the factor of engines little in one step, since few requests arrive in it": {
			share.NewCapacity(), []share.Observation{{Supply: 10, Demand: 20, Admitted: 16, Arrivals: 20, Rejections: 10, Occupancy: 1.5}}, 0.95, true,
		},
		"room raises the factor once there are refusals": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 20, Admitted: 10, Arrivals: 100, Occupancy: 1.6}, {Supply: 10, Demand: 20, Admitted: 10, Arrivals: 100, Occupancy: 0.8}}, 1.05, true,
		},
		"refusals end when demand is within capacity": {
			plainCapacity, []share.Observation{{Supply: 10, Demand: 20, Admitted: 10, Arrivals: 100, Occupancy: 1.6}, {Supply: 10, Demand: 9, Admitted: 9, Arrivals: 100, Occupancy: 1.6}}, 1, false,
		},
		"without endpoints nothing is refused": {
			plainCapacity, []share.Observation{{Supply: 0, Demand: 20, Admitted: 10, Arrivals: 100, Rejections: 100, Occupancy: 3}}, 1, false,
		},
	} {
		It(name, func() {
			c := t.capacity
			for _, o := range t.observations {
				c = c.WithObservation(o)
			}
			Expect(c.Factor()).To(BeNumerically("~", t.factor, tolerance))
			Expect(c.Cutting()).To(Equal(t.cutting))
		})
	}

	It("is less available while too many requests wait", func() {
		c := plainCapacity.WithObservation(share.Observation{Supply: 10, Demand: 20, Admitted: 20, Arrivals: 100, Occupancy: 2.5})
		Expect(c.Of(10)).To(BeNumerically("~", 10, tolerance))
		Expect(c.Available(10)).To(BeNumerically("~", 8, tolerance))
	})
})
