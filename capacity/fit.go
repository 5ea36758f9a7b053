package capacity

import "math"

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
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	line := Line{Slope: xy / xx}
	line.Intercept = meanY - line.Slope*meanX
	line.Residual = residual(points, line) / math.Abs(meanY)
	return line
}

func residual(points []Point, line Line) float64 {
	var sum float64
	for _, p := range points {
		d := p.Y - line.At(p.X)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}
