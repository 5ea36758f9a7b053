package report

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

// page is the template of a report. Everything is in the one file: styles, and plots as SVG.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"ratio":   func(part int, whole float64) string { return percent(ratio(float64(part), whole)) },
	"share":   func(part, whole int) string { return percent(ratio(part, whole)) },
	"part":    func(part float64, whole int) string { return percent(ratio(part, float64(whole))) },
}).Parse(pageText))

// pageGroup is a group with its plots.
type pageGroup struct {
	Group
	Plots []template.HTML
}

// WritePage writes the report as a page with plots.
func (r *Report) WritePage(w io.Writer) error {
	data := struct {
		*Report
		Groups []pageGroup
	}{Report: r}
	for _, g := range r.Scenarios {
		plots, err := plotsOf(g)
		if err != nil {
			return err
		}
		data.Groups = append(data.Groups, pageGroup{Group: g, Plots: plots})
	}
	return page.Execute(w, data)
}
