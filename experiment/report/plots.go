package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot.
const (
	plotWidth  = 15 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 10 // points
)

// colors of the policies, in their order.
var colors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x7f, B: 0x3b, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x50, B: 0x20, A: 0xff},
	color.RGBA{R: 0x30, G: 0x60, B: 0xb0, A: 0xff},
	color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff},
	color.RGBA{R: 0x90, G: 0x30, B: 0x90, A: 0xff},
}

func colorOf(i int) color.Color { return colors[i%len(colors)] }

// plotsOf draws the plots of a scenario as SVG.
func plotsOf(g Group) ([]template.HTML, error) {
	var svgs []template.HTML
	for _, draw := range []func(Group) (*plot.Plot, error){goodputPlot, organisationPlot, wastePlot, firstTierPlot} {
		p, err := draw(g)
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		svg, err := svgOf(p)
		if err != nil {
			return nil, err
		}
		svgs = append(svgs, svg)
	}
	return svgs, nil
}

// svgOf returns the SVG element alone, so that it can stand within a page.
func svgOf(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:]
	}
	return template.HTML(text), nil // made from figures and fixed names by the library, which escapes texts
}

// bars draws a group of bars for each policy, one bar for each name.
func bars(g Group, title, unit string, names []string, of func(Run) []float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, run := range g.Runs {
		chart, err := plotter.NewBarChart(plotter.Values(of(run)), vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		chart.Color = colorOf(i)
		chart.LineStyle.Width = 0
		chart.Offset = vg.Points(barWidth * (float64(i) - float64(len(g.Runs)-1)/2))
		p.Add(chart)
		p.Legend.Add(run.name(), chart)
	}
	p.NominalX(names...)
	return p, nil
}

func goodputPlot(g Group) (*plot.Plot, error) {
	names := []string{"tier 1", "tier 2", "tier 3", "all, of the bound"}
	return bars(g, "Requests answered in time", "%", names, func(r Run) []float64 {
		var values []float64
		for _, t := range r.Tiers {
			values = append(values, 100*t.GoodRate)
		}
		return append(values, 100*ratio(float64(r.Good), g.Bound.Total))
	})
}

func organisationPlot(g Group) (*plot.Plot, error) {
	var names []string
	if len(g.Runs) > 0 {
		for _, o := range g.Runs[0].Shares.Organisations {
			names = append(names, o.Name)
		}
	}
	return bars(g, "Served tokens of an equal share", "%", names, func(r Run) []float64 {
		var values []float64
		for _, o := range r.Shares.Organisations {
			values = append(values, 100*o.OfEqual)
		}
		return values
	})
}

func wastePlot(g Group) (*plot.Plot, error) {
	causes := map[string]bool{}
	for _, run := range g.Runs {
		for cause := range run.Prefill.Wasted {
			causes[cause] = true
		}
	}
	names := sortedKeys(causes)
	return bars(g, "Wasted prefill of computed prompt tokens", "%", append(names, "all"), func(r Run) []float64 {
		var values []float64
		for _, cause := range names {
			values = append(values, 100*ratio(r.Prefill.Wasted[cause], r.Prefill.Computed))
		}
		return append(values, 100*r.Prefill.WastedShare)
	})
}

// firstTierPlot shows the first tier's goodput over time, by second of arrival.
func firstTierPlot(g Group) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "First tier answered in time"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "%"
	p.Y.Min, p.Y.Max = 0, 105
	for i, run := range g.Runs {
		line, err := plotter.NewLine(firstTierPoints(run))
		if err != nil {
			return nil, errors.Wrap(err, fmt.Sprintf("run %d", i))
		}
		line.Color = colorOf(i)
		p.Add(line)
		p.Legend.Add(run.name(), line)
	}
	return p, nil
}

func firstTierPoints(r Run) plotter.XYs {
	var points plotter.XYs
	for second, arrived := range r.Timeline.Arrived[0] {
		if arrived > 0 {
			points = append(points, plotter.XY{X: float64(second), Y: 100 * ratio(r.Timeline.Good[0][second], arrived)})
		}
	}
	if len(points) == 0 {
		points = plotter.XYs{{}}
	}
	return points
}
