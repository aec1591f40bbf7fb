package report

import (
	"bytes"
	_ "embed" // the template of the page
	"fmt"
	"hash/fnv"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page holds the values of the template.
type page struct {
	Requests int
	Plots    []template.HTML // SVG images
	Seconds  []int           // columns of Targets
	Targets  []targetRow
	Text     string
}

// targetRow is the row of one target.
type targetRow struct {
	Name  string
	Cells []cell
}

// cell shows the models of a target in one second.
type cell struct {
	Title  string
	Colors []template.CSS
}

// WritePage writes the report as one HTML page without references to other files.
func (report *Report) WritePage(out io.Writer) error {
	var text bytes.Buffer
	if err := report.Write(&text); err != nil {
		return err
	}
	values := page{Requests: len(report.requests), Text: text.String()}
	for _, draw := range []func() (*plot.Plot, error){report.plotOutcomes, report.plotQueues, report.plotWaits} {
		drawn, err := draw()
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		image, err := svg(drawn)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		values.Plots = append(values.Plots, image)
	}
	values.Seconds, values.Targets = report.targetRows()
	return errors.Wrap(pageTemplate.Execute(out, values), "page")
}

// Size of a plot, and of the space beside its legend.
const (
	plotWidth    = 9 * vg.Inch
	plotHeight   = 3 * vg.Inch
	legendMargin = vg.Inch / 2
)

// svg returns the plot as an SVG element.
func svg(drawn *plot.Plot) (template.HTML, error) {
	writer, err := drawn.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	_, element, _ := strings.Cut(image.String(), "<svg")
	return template.HTML("<svg" + element), nil //nolint:gosec // made by the plotting library
}

// lineColors are the colours of the lines of a plot, in order.
var lineColors = []color.Color{
	color.RGBA{44, 123, 60, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{204, 51, 51, 255}, color.RGBA{86, 86, 200, 255}, color.RGBA{90, 90, 90, 255},
}

// newPlot returns a plot with a line for each series of values by second.
func newPlot(title, unit string, names []string, series map[string]map[int]float64) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = title, "second", unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Legend.XOffs = -legendMargin
	for index, name := range names {
		points := plotter.XYs{}
		for _, second := range slices.Sorted(maps.Keys(series[name])) {
			points = append(points, plotter.XY{X: float64(second), Y: series[name][second]})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = lineColors[index%len(lineColors)]
		drawn.Add(line)
		drawn.Legend.Add(name, line)
	}
	return drawn, nil
}

func (report *Report) plotOutcomes() (*plot.Plot, error) {
	names := []string{string(InTime), string(Late), string(Refused), string(Cut), string(Failed)}
	series := map[string]map[int]float64{}
	for _, name := range names {
		series[name] = map[int]float64{}
	}
	for _, request := range report.requests {
		for _, name := range names {
			series[name][report.second(request)] += 0 // so that each line has a point for each second
		}
		if counts := series[string(request.outcome)]; counts != nil {
			counts[report.second(request)]++
		}
	}
	return newPlot("Requests by their end", "requests", names, series)
}

func (report *Report) plotQueues() (*plot.Plot, error) {
	names := []string{"running", "queued", "without an event"}
	series := map[string]map[int]float64{}
	for _, name := range names {
		series[name] = map[int]float64{}
	}
	for _, sample := range report.samples {
		second := int(report.since(sample.at) / time.Second)
		series["running"][second] += float64(sample.running)
		series["queued"][second] += float64(sample.queued)
		series["without an event"][second] += float64(sample.starting)
	}
	return newPlot("Requests at all targets", "requests", names, series)
}

// plotWaits plots how long streams waited, by what they waited for.
func (report *Report) plotWaits() (*plot.Plot, error) {
	names := []string{"for placing", "first event as estimated", "first event beyond the estimate"}
	sums, counts := map[string]map[int]float64{}, map[int]float64{}
	for _, name := range names {
		sums[name] = map[int]float64{}
	}
	for _, request := range report.requests {
		if len(request.attempts) == 0 || !request.attempts[0].started {
			continue
		}
		second, first := report.second(request), request.attempts[0]
		counts[second]++
		sums[names[0]][second] += request.placed.Seconds() * 1000
		sums[names[1]][second] += min(first.first, first.estimate.wait).Seconds() * 1000
		sums[names[2]][second] += max(first.first-first.estimate.wait, 0).Seconds() * 1000
	}
	for _, name := range names {
		for second := range sums[name] {
			sums[name][second] /= counts[second]
		}
	}
	return newPlot("Mean wait of streams", "ms", names, sums)
}

// targetRows returns the seconds of the samples and a row of models for each target.
func (report *Report) targetRows() ([]int, []targetRow) {
	models := map[string]map[int][]string{}
	seconds := map[int]bool{}
	for _, sample := range report.samples {
		second := int(report.since(sample.at) / time.Second)
		if second < 0 {
			continue
		}
		seconds[second] = true
		if models[sample.target] == nil {
			models[sample.target] = map[int][]string{}
		}
		models[sample.target][second] = sample.models
	}
	columns := slices.Sorted(maps.Keys(seconds))
	var rows []targetRow
	for _, target := range slices.Sorted(maps.Keys(models)) {
		row := targetRow{Name: target}
		for _, second := range columns {
			held := cell{Title: strings.Join(models[target][second], " ")}
			for _, model := range slices.Sorted(slices.Values(models[target][second])) {
				held.Colors = append(held.Colors, modelColor(model))
			}
			row.Cells = append(row.Cells, held)
		}
		rows = append(rows, row)
	}
	return columns, rows
}

// modelColor returns the colour of a model, the same in every report.
func modelColor(model string) template.CSS {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(model))                                          // never fails
	return template.CSS(fmt.Sprintf("hsl(%d, 65%%, 60%%)", hash.Sum32()%360)) //nolint:gosec // a number
}
