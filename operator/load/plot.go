package load

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	// legendRoom raises the top of a plot, so that no line runs below the legend.
	legendRoom = 1.4
)

// WritePlot draws, for each class, attainment and callers in the system over
// time, one line per policy, and the engines' waiting requests below. The suffix
// of the path, .png or .svg, says the format.
func WritePlot(x *Experiment, results []*Result, path string) error {
	rows, err := rowsOf(x, results)
	if err != nil {
		return err
	}
	height := plotHeight * vg.Length(len(rows))
	var canvas vg.CanvasSizer
	var out vg.CanvasWriterTo
	switch strings.ToLower(filepath.Ext(path)) {
	case ".png":
		c := vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, height)}
		canvas, out = c, c
	case ".svg":
		c := vgsvg.New(plotWidth, height)
		canvas, out = c, c
	default:
		return fault.New(fault.Invalid, "plot %s: the suffix must be .png or .svg", path)
	}
	drawRows(rows, draw.New(canvas))
	return writeFile(path, out)
}

func drawRows(rows [][]*plot.Plot, dc draw.Canvas) {
	tiles := draw.Tiles{
		Rows: len(rows), Cols: len(rows[0]),
		PadX: vg.Centimeter / 2, PadY: vg.Centimeter / 2,
		PadTop: vg.Centimeter / 4, PadBottom: vg.Centimeter / 4, PadLeft: vg.Centimeter / 4, PadRight: vg.Centimeter / 4,
	}
	for i, row := range plot.Align(rows, tiles, dc) {
		for j, c := range row {
			if rows[i][j] != nil {
				rows[i][j].Draw(c)
			}
		}
	}
}

func writeFile(path string, out vg.CanvasWriterTo) error {
	f, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "create plot")
	}
	if _, err := out.WriteTo(f); err != nil {
		_ = f.Close()
		return fault.Wrap(err, fault.Unavailable, "write plot")
	}
	if err := f.Close(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write plot")
	}
	return nil
}

func rowsOf(x *Experiment, results []*Result) ([][]*plot.Plot, error) {
	groups := byPolicy(results)
	var rows [][]*plot.Plot
	for i := range x.Traffic {
		class := x.Traffic[i].Class
		attained, err := newPlot(class+": attained", "share", groups, func(g []*Result) plotter.XYs { return attainment(x, g, class) })
		if err != nil {
			return nil, err
		}
		attained.Y.Max = 1.02
		attained.X.Max = x.Settings.Duration.Seconds()
		attained.Legend = plot.NewLegend() // the one beside it serves both
		callers, err := newPlot(class+": callers without outcome", "callers", groups, func(g []*Result) plotter.XYs {
			return mean(x, g, func(s *Sample) float64 { return float64(s.Callers[class]) })
		})
		if err != nil {
			return nil, err
		}
		rows = append(rows, []*plot.Plot{attained, callers})
	}
	running, err := newPlot("engines: running", "requests", groups, func(g []*Result) plotter.XYs {
		return mean(x, g, func(s *Sample) float64 { return float64(s.Running) })
	})
	if err != nil {
		return nil, err
	}
	waiting, err := newPlot("engines: waiting", "requests", groups, func(g []*Result) plotter.XYs {
		return mean(x, g, func(s *Sample) float64 { return float64(s.Waiting) })
	})
	if err != nil {
		return nil, err
	}
	return append(rows, []*plot.Plot{running, waiting}), nil
}

type group struct {
	policy  string
	results []*Result
}

func byPolicy(results []*Result) []group {
	var out []group
next:
	for _, r := range results {
		for i := range out {
			if out[i].policy == r.Policy {
				out[i].results = append(out[i].results, r)
				continue next
			}
		}
		out = append(out, group{policy: r.Policy, results: []*Result{r}})
	}
	return out
}

func newPlot(title, unit string, groups []group, points func([]*Result) plotter.XYs) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, g := range groups {
		xys := points(g.results)
		if len(xys) == 0 {
			continue
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "plot %s", title)
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		l.Width = vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(g.policy, l)
	}
	p.X.Min, p.Y.Min = 0, 0
	p.Y.Max *= legendRoom
	return p, nil
}

// attainment is the share of requests that met their level, by time of arrival
// and over all seeds.
func attainment(x *Experiment, results []*Result, class string) plotter.XYs {
	bin := x.Settings.Bin
	n := int((x.Settings.Duration + bin - 1) / bin)
	all, met := make([]int, n), make([]int, n)
	for _, r := range results {
		for i := range r.Records {
			rec := &r.Records[i]
			if rec.Request == nil || rec.Request.Class.Name != class {
				continue
			}
			at := int(rec.Request.At / bin)
			all[at]++
			if rec.Outcome.Met(rec.Request.Class) {
				met[at]++
			}
		}
	}
	var out plotter.XYs
	for i := range all {
		if all[i] > 0 {
			at := (time.Duration(i)*bin + bin/2).Seconds()
			out = append(out, plotter.XY{X: at, Y: float64(met[i]) / float64(all[i])})
		}
	}
	return out
}

// mean is a figure of the samples, averaged over seeds.
func mean(x *Experiment, results []*Result, figure func(*Sample) float64) plotter.XYs {
	var sums []float64
	var counts []float64
	for _, r := range results {
		for i := range r.Samples {
			if i == len(sums) {
				sums = append(sums, 0)
				counts = append(counts, 0)
			}
			sums[i] += figure(&r.Samples[i])
			counts[i]++
		}
	}
	var out plotter.XYs
	for i := range sums {
		at := (time.Duration(i+1) * x.Settings.Sample).Seconds()
		out = append(out, plotter.XY{X: at, Y: sums[i] / counts[i]})
	}
	return out
}
