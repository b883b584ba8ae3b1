package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// Names of the files in a report directory.
const (
	reportFile   = "report.json"
	responseFile = "response.png"
	workFile     = "work.png"
)

// Sizes of the plots.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	// binWidth is the time that one point of the plot of completed work covers.
	binWidth = 500 * time.Millisecond
)

// writeReport writes the report and its plots into a directory and creates the
// directory if it does not exist.
func writeReport(dir string, r Report, m, baseline *measurement) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	if err := plotResponse(filepath.Join(dir, responseFile), m); err != nil {
		return errors.Wrap(err, "write the plot of response times")
	}
	if err := plotWork(filepath.Join(dir, workFile), m, baseline); err != nil {
		return errors.Wrap(err, "write the plot of completed work")
	}
	return nil
}

// plotResponse plots, for each complete job, the ratio of its response time to its
// ideal response time against its arrival time.
func plotResponse(path string, m *measurement) error {
	p := plot.New()
	p.Title.Text = "Response over ideal"
	p.X.Label.Text = "arrival, s"
	p.Y.Label.Text = "response / ideal"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, class := range job.Classes {
		points := responsePoints(&m.load, class)
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color = plotutil.Color(i)
		scatter.Radius = vg.Points(1.5)
		p.Add(scatter)
		p.Legend.Add(string(class), scatter)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func responsePoints(load *loadgen.Result, class job.Class) plotter.XYs {
	var points plotter.XYs
	for i := range load.Outcomes {
		o := &load.Outcomes[i]
		if o.Complete() && o.Class == class {
			points = append(points, plotter.XY{X: o.At.Seconds(), Y: float64(o.Response) / float64(o.IdealResponse)})
		}
	}
	return points
}

// plotWork plots the number of tasks of complete jobs per second against the time
// of the job's answer, for the run and for the baseline without faults. baseline
// may be nil.
func plotWork(path string, m, baseline *measurement) error {
	p := plot.New()
	p.Title.Text = "Work completed"
	p.X.Label.Text = "answer, s"
	p.Y.Label.Text = "tasks / s"
	lines := []any{"run", workPoints(&m.load)}
	if baseline != nil {
		lines = append(lines, "no fault", workPoints(&baseline.load))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func workPoints(load *loadgen.Result) plotter.XYs {
	var bins []int
	for i := range load.Outcomes {
		o := &load.Outcomes[i]
		if !o.Complete() {
			continue
		}
		bin := int((o.At + o.Response) / binWidth)
		for len(bins) <= bin {
			bins = append(bins, 0)
		}
		bins[bin] += o.Tasks
	}
	points := make(plotter.XYs, len(bins))
	for i, tasks := range bins {
		points[i].X = (time.Duration(i) * binWidth).Seconds()
		points[i].Y = float64(tasks) / binWidth.Seconds()
	}
	return points
}
