package benchpolicy

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

var barColor = color.RGBA{R: 0x2b, G: 0x6c, B: 0xb0, A: 0xff}

// saveBarChart writes a bar chart to an SVG file.
func saveBarChart(path, title, unit string, names []string, values []float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	chart, err := plotter.NewBarChart(plotter.Values(values), barWidth)
	if err != nil {
		return errors.Wrap(err, "create bar chart")
	}
	chart.Color = barColor
	p.Add(chart)
	p.NominalX(names...)
	return savePlot(p, path)
}

func savePlot(p *plot.Plot, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "save %s", path)
}

func plotCost(dir string, s site, results []policyResults) error {
	var names []string
	var values []float64
	for _, r := range results {
		quality := statsOf(r.results, result.meanQuality)
		names = append(names, fmt.Sprintf("%s\n(%.3f)", r.policy, quality.mean))
		values = append(values, statsOf(r.results, result.costPer1000).mean)
	}
	path := filepath.Join(dir, "cost-"+s.name+".svg")
	return saveBarChart(path, s.name+": cost (quality reached)", "cost units per 1,000 answers", names, values)
}

func plotExposure(dir string, results []policyResults) error {
	var names []string
	var values []float64
	for _, r := range results {
		names = append(names, r.policy)
		values = append(values, statsOf(r.results, func(r result) float64 { return 100 * r.degradedAnswers / max(1, r.afterDegradation) }).mean)
	}
	path := filepath.Join(dir, "bad-version-Guild.svg")
	return saveBarChart(path, "Answers of a version after it turned 15 points worse", "% of answers", names, values)
}

// fileName replaces commas and spaces in a title by hyphens.
func fileName(title string) string {
	return strings.NewReplacer(", ", "-", " ", "-").Replace(title)
}
