// Package estimate estimates the quality of versions from ratings: a mean with its uncertainty for
// each workspace, task class and version.
//
// # Usage
//
//	table = table.WithRatings(map[estimate.Key][]float64{key: {0.8, 1}})
//	low := table.Score(key).Lower(prior)
//
// A Table is immutable. Ratings are incomplete and arrive late, so every use of a mean goes through
// a bound.
package estimate

import (
	"math"
	"sort"

	"quaybarrow/internal/declare"
)

// Key identifies the subject of an estimate.
type Key struct {
	Workspace string
	Class     string
	Version   declare.Ref
}

// Score summarizes the ratings of a key.
type Score struct {
	Count float64 `json:"count"`
	Mean  float64 `json:"mean"`
	// SquaredDeviations is the sum of squared deviations from the mean.
	SquaredDeviations float64 `json:"spread"`
}

// With returns the score with one more rating, from 0 to 1.
func (s Score) With(rating float64) Score {
	s.Count++
	delta := rating - s.Mean
	s.Mean += delta / s.Count
	s.SquaredDeviations += delta * (rating - s.Mean)
	return s
}

// Parameters of the bounds.
const (
	priorWeight   = 8    // number of ratings that an operator's prior counts as
	intervalWidth = 2.5  // half width in standard errors; wide, because the bound is checked continuously
	minDeviation  = 0.05 // lower bound of the standard deviation
	minRatings    = 20   // ratings below which Upper is 1
)

// bounds returns the mean and the half width of its interval. The prior counts as ratings with the
// largest possible variance.
func (s Score) bounds(prior float64) (mean, half float64) {
	if prior == 0 {
		prior = 0.5
	}
	count := s.Count + priorWeight
	mean = (s.Mean*s.Count + prior*priorWeight) / count
	variance := (s.SquaredDeviations + priorWeight*prior*(1-prior)) / count
	deviation := math.Max(math.Sqrt(variance), minDeviation)
	return mean, intervalWidth * deviation / math.Sqrt(count)
}

// Interval is a mean with the half width of its interval.
type Interval struct{ Mean, Half float64 }

// Interval returns the score's mean and uncertainty.
func (s Score) Interval(prior float64) Interval {
	mean, half := s.bounds(prior)
	return Interval{Mean: mean, Half: half}
}

// MixLower returns the lower bound of the mean of a mix of two versions, with a share of the first.
// Their errors are independent, so the mix is less uncertain than its more uncertain part.
func MixLower(first, second Interval, share float64) float64 {
	a, b := share*first.Half, (1-share)*second.Half
	return share*first.Mean + (1-share)*second.Mean - math.Sqrt(a*a+b*b)
}

// Lower returns the lower confidence bound of the mean.
func (s Score) Lower(prior float64) float64 {
	mean, half := s.bounds(prior)
	return math.Max(mean-half, 0)
}

// Upper returns the upper confidence bound of the mean. It is 1 for a version with few ratings,
// whatever its prior: a bound from the prior alone could keep a version from ever being tried.
func (s Score) Upper(prior float64) float64 {
	if s.Count < minRatings {
		return 1
	}
	mean, half := s.bounds(prior)
	return math.Min(mean+half, 1)
}

// Table is an immutable set of scores.
type Table struct{ scores map[Key]Score }

// Entry is the stored form of one score of a table.
type Entry struct {
	Workspace string      `json:"workspace"`
	Class     string      `json:"class"`
	Version   declare.Ref `json:"version"`
	Score     Score       `json:"score"`
}

// NewTable returns a table of the given entries.
func NewTable(entries []Entry) Table {
	t := Table{scores: make(map[Key]Score, len(entries))}
	for _, e := range entries {
		t.scores[Key{e.Workspace, e.Class, e.Version}] = e.Score
	}
	return t
}

// Score returns the score of a key, or a zero score if the key has no ratings.
func (t Table) Score(k Key) Score { return t.scores[k] }

// WithRatings returns a copy of the table with the given ratings added.
func (t Table) WithRatings(ratings map[Key][]float64) Table {
	scores := make(map[Key]Score, len(t.scores)+len(ratings))
	for k, s := range t.scores {
		scores[k] = s
	}
	for k, values := range ratings {
		for _, v := range values {
			scores[k] = scores[k].With(v)
		}
	}
	return Table{scores: scores}
}

// Entries returns the table's entries sorted by workspace, class and version.
func (t Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.scores))
	for k, s := range t.scores {
		entries = append(entries, Entry{k.Workspace, k.Class, k.Version, s})
	}
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.Workspace != b.Workspace {
			return a.Workspace < b.Workspace
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Version.String() < b.Version.String()
	})
	return entries
}
