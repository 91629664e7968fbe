package cascade_test

import (
	"testing"

	"quaybarrow/internal/cascade"
)

// choice is a small model's answer that has arrived, and what the largest model would take.
type choice struct {
	confidence float64
	late       bool    // the small model's answer is late
	inTime     float64 // probability that the larger model's answer comes in time
	size       float64
	delay      float64
}

func (s choice) asked() bool {
	small := cascade.Answer{Correct: cascade.CorrectProbability(s.confidence), InTime: 1}
	if s.late {
		small.InTime = 0
	}
	larger := cascade.Option{
		Answer: cascade.Answer{Correct: cascade.LargestCorrect, InTime: s.inTime}, Cost: cascade.RelativeCost(0.2, 0.2), Size: s.size, Delay: s.delay,
	}
	return larger.NetValue() > small.Value()
}

func TestLargerModelIsAsked(t *testing.T) {
	cases := map[string]struct {
		choice
		asked bool
	}{
		"a wrong answer":                                               {choice{10, false, 1, 1, 0}, true},
		"a doubtful one":                                               {choice{45, false, 1, 1, 0}, true},
		"a likely one":                                                 {choice{65, false, 1, 1, 0}, false},
		"a sure one":                                                   {choice{100, false, 1, 1, 0}, false},
		"a likely one that is late":                                    {choice{65, true, 1, 1, 0}, true},
		"a wrong one that came late":                                   {choice{5, true, 1, 1, 0}, true},
		"a wrong one, the larger one certainly late":                   {choice{10, false, 0, 1, 0}, false},
		"a doubtful one, the larger one possibly late":                 {choice{45, false, 0.5, 1, 0}, false},
		"a wrong one while many requests wait":                         {choice{10, false, 1, 1, 0.9}, false},
		"a doubtful one while some requests wait":                      {choice{45, false, 1, 1, 0.4}, false},
		"a wrong one while some requests wait":                         {choice{10, false, 1, 1, 0.4}, true},
		"a wrong one for a large request, whose worth covers its work": {choice{10, false, 1, 4, 1.2}, true},
		"a doubtful one for a small request, which costs little":       {choice{47, false, 1, 0.2, 0}, true},
	}
	for name, c := range cases {
		if got := c.choice.asked(); got != c.asked {
			t.Errorf("%s: asked is %v", name, got)
		}
	}
}

func TestRelativeCostFollowsDeclaredCosts(t *testing.T) {
	if half, whole := cascade.RelativeCost(0.1, 0.2), cascade.RelativeCost(0.2, 0.2); half*2 != whole {
		t.Errorf("%v for half the cost, %v for the largest model's", half, whole)
	}
	if undeclared := cascade.RelativeCost(0, 0); undeclared != cascade.RelativeCost(1, 1) {
		t.Errorf("%v where no costs are declared", undeclared)
	}
}

func TestChanceRightRises(t *testing.T) {
	last := -1.0
	for confidence := range 101 {
		chance := cascade.CorrectProbability(float64(confidence))
		if chance < last || chance < 0 || chance > 1 {
			t.Fatalf("%v at %d after %v", chance, confidence, last)
		}
		last = chance
	}
}
