// Package plotfile draws line charts as PNG, SVG or PDF files.
//
// # Usage
//
//	err := plotfile.Write("rollout.png", plotfile.Chart{Title: "...", Lines: lines})
package plotfile

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	width  = 8 * vg.Inch
	height = 5 * vg.Inch
)

// Point is one point of a line.
type Point struct{ X, Y float64 }

// Line is one named line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Chart is a line chart.
type Chart struct {
	Title string
	X, Y  string // labels of the axes
	Lines []Line
}

// Write draws a chart to a file. The file's extension, .png, .svg or .pdf, selects the format.
func Write(file string, c Chart) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, l := range c.Lines {
		points := make(plotter.XYs, len(l.Points))
		for i, at := range l.Points {
			points[i] = plotter.XY{X: at.X, Y: at.Y}
		}
		lines = append(lines, l.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", file, err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("draw %s: %w", file, err)
	}
	return nil
}
