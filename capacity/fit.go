package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a cost at a size.
type Point struct{ X, Y float64 }

// Line is the least-squares line through points.
type Line struct {
	Intercept float64 // cost at size 0
	Slope     float64 // cost of each unit of size
	Residual  float64 // root mean square of the distances from the line, as a share of the mean cost
}

// At returns the cost at a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the line with the least sum of squared vertical distances. It needs two sizes at least; with fewer the
// slope isn't a number.
func Fit(points []Point) Line {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	line := Line{Intercept: intercept, Slope: slope}
	squares := make([]float64, len(points))
	for i, p := range points {
		squares[i] = math.Pow(p.Y-line.At(p.X), 2)
	}
	line.Residual = math.Sqrt(stat.Mean(squares, nil)) / math.Abs(stat.Mean(ys, nil))
	return line
}
