// Package plotter renders experiment reports as a self-contained HTML page with SVG plots
// and a table that compares the values with those of the previous run.
package plotter

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"flamingoledge.org/flamingoledge/internal/measurer"
)

const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	barWidthPoints = 8
	// growthRowPrefix begins the names of rows with the time to N instances, which are
	// time_to_<N>_seconds_<series>.
	growthRowPrefix = "time_to_"
)

// row is a measured row with the formatted values that the page's table shows.
type row struct {
	measurer.Row
	Experiment string
	Previous   string
	Bound      string
	Baseline   string
}

type page struct {
	Rows   []row
	Plots  []template.HTML
	Failed int
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>flamingoledge: measurements</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse } td, th { padding: .2em .8em; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left }
.broken { background: #fdd }
</style></head><body>
<h1>Measurements</h1>
<p>{{.Failed}} rows are out of their bounds.</p>
{{range .Plots}}{{.}}{{end}}
<table><tr><th>experiment</th><th>row</th><th>value</th><th>unit</th><th>target</th><th>baseline</th><th>previous run</th></tr>
{{range .Rows}}<tr{{if not .Holds}} class="broken"{{end}}><td>{{.Experiment}}</td><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td><td>{{.Unit}}</td><td>{{.Bound}}</td><td>{{.Baseline}}</td><td>{{.Previous}}</td></tr>
{{end}}</table></body></html>
`))

// Write writes an HTML page of reports to w. previous contains the reports of an earlier
// run for comparison and may be nil.
func Write(w io.Writer, reports, previous []measurer.Report) error {
	p := page{}
	previousValues := map[string]float64{}
	for _, r := range previous {
		for _, x := range r.Rows {
			previousValues[r.Experiment+"/"+x.Name] = x.Value
		}
	}
	for _, r := range reports {
		for _, x := range r.Rows {
			tableRow := row{Row: x, Experiment: r.Experiment, Bound: formatOptional(x.Bound), Baseline: formatOptional(x.Baseline)}
			if v, ok := previousValues[r.Experiment+"/"+x.Name]; ok {
				tableRow.Previous = formatOptional(&v)
			}
			if !x.Holds {
				p.Failed++
			}
			p.Rows = append(p.Rows, tableRow)
		}
		if err := p.addPlots(r); err != nil {
			return err
		}
	}
	return eris.Wrap(pageTemplate.Execute(w, p), "render report page")
}

// formatOptional formats a value, or returns an empty string if v is nil.
func formatOptional(v *float64) string {
	if v == nil {
		return ""
	}
	return fmt.Sprintf("%.4g", *v)
}

func (p *page) addPlots(r measurer.Report) error {
	svg, err := boundsPlot(r)
	if err != nil {
		return err
	}
	p.Plots = append(p.Plots, svg)
	if svg, err = growthPlot(r); err != nil || svg == "" {
		return err
	}
	p.Plots = append(p.Plots, svg)
	return nil
}

// boundsPlot plots the share of each row's bound that is used: 1 at the bound, and at most
// 2. It returns an empty string if no row has a bound.
func boundsPlot(r measurer.Report) (template.HTML, error) {
	var values plotter.Values
	var names []string
	for _, x := range r.Rows {
		if x.Bound == nil || *x.Bound == 0 {
			continue
		}
		share := x.Value / *x.Bound
		if x.Direction == measurer.HigherIsBetter && x.Value > 0 {
			share = *x.Bound / x.Value
		}
		values = append(values, math.Min(share, 2))
		names = append(names, x.Name)
	}
	if len(values) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = r.Experiment + ": share of each bound that is used (1 is the bound)"
	bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
	if err != nil {
		return "", eris.Wrap(err, "create bar chart of bounds")
	}
	bars.Horizontal = true
	p.Add(bars, plotter.NewGrid())
	p.NominalY(names...)
	p.X.Min, p.X.Max = 0, 2
	return render(p)
}

// growthPlot plots the time until N instances hold a version against N, with a line per
// series. It returns an empty string if the report has no such rows.
func growthPlot(r measurer.Report) (template.HTML, error) {
	pointsBySeries := map[string]plotter.XYs{}
	for _, x := range r.Rows {
		rest, ok := strings.CutPrefix(x.Name, growthRowPrefix)
		if !ok {
			continue
		}
		n, series, ok := strings.Cut(rest, "_seconds_")
		size, err := strconv.Atoi(n)
		if !ok || err != nil {
			continue
		}
		pointsBySeries[series] = append(pointsBySeries[series], plotter.XY{X: math.Log2(float64(size)), Y: x.Value})
	}
	if len(pointsBySeries) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "time until N instances hold the version"
	p.X.Label.Text = "log2 N"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	for series, xys := range pointsBySeries {
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return "", eris.Wrap(err, "create line plot")
		}
		p.Add(line, points)
		p.Legend.Add(strings.ReplaceAll(series, "_", " "), line)
	}
	return render(p)
}

// render draws a plot as an SVG element without the XML header.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "encode plot as SVG")
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil //nolint:gosec // The plot is drawn here, from numbers.
}
