package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/experiment"
)

func addExperiment(app *kingpin.Application, std Streams) {
	cmd := app.Command("experiment", "Measure entries and agents over loopback under load and faults. "+
		"Example: dogwoodgauge experiment --scenario quitanda --fault domain-out --seed 1 --duration 20s --json")
	o := experiment.Options{Progress: std.Err}
	var entries string
	cmd.Flag("scenario", "One of "+strings.Join(experiment.ScenarioNames(), ", ")+".").Default(experiment.DefaultScenario).StringVar(&o.Scenario)
	cmd.Flag("fault", "Fault to inject; repeat the flag or separate faults by commas to inject several at the same time. One of "+strings.Join(experiment.FaultNames(), ", ")+".").
		StringsVar(&o.Faults)
	cmd.Flag("policy", "Placement policy.").StringVar(&o.Policy)
	cmd.Flag("seed", "Seed of the arrivals and of the policies.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("duration", "Time over which jobs arrive.").Default(experiment.DefaultDuration.String()).
		DurationVar(&o.Duration)
	cmd.Flag("load", "Offered work as a share of the slots.").Default(fmt.Sprint(experiment.DefaultLoad)).
		Float64Var(&o.Load)
	cmd.Flag("entries", "HTTP addresses of entries that run already, separated by commas; no fault can be injected then.").
		PlaceHolder("ADDR,...").StringVar(&entries)
	cmd.Flag("report", "Directory for the report and plots.").StringVar(&o.ReportDir)
	cmd.Flag("skip-baseline", "Skip the measurement without faults.").BoolVar(&o.SkipBaseline)
	asJSON := jsonFlag(cmd)
	logs := logsFlag(cmd)
	cmd.Action(action(func() error {
		if err := discardLogs(*logs); err != nil {
			return err
		}
		if entries != "" {
			o.Entries = strings.Split(entries, ",")
		}
		ctx, stop := signalContext()
		defer stop()
		report, err := experiment.Run(ctx, o)
		if err != nil && !errors.Is(err, experiment.ErrInvariant) {
			return err
		}
		if *asJSON {
			return errors.Join(writeJSON(std.Out, report), err)
		}
		return errors.Join(printReport(std.Out, &report), err)
	}))
}

func printReport(w io.Writer, r *experiment.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s, faults %s, seed %d\n", r.Scenario, strings.Join(r.Faults, ", "), r.Seed)
	fmt.Fprintf(t, "jobs\t%d (%d complete, %d failed), tasks %d, starts %d\n", r.Jobs, r.Complete, r.Failed, r.Tasks, r.Starts)
	fmt.Fprintf(t, "response over ideal\tp50 %.3f, p99 %.3f, p99.9 %.3f\n", r.P50, r.P99, r.P999)
	for _, c := range r.ByClass {
		fmt.Fprintf(t, "  %s\tp50 %.3f, p99 %.3f, p99.9 %.3f of %d jobs\n", c.Class, c.P50, c.P99, c.P999, c.Jobs)
	}
	fmt.Fprintf(t, "messages a task\t%.3f, wasted %.3f\n", r.MessagesPerTask, r.WastedMessagesPerTask)
	fmt.Fprintf(t, "completed\t%.4f of the jobs that could run\n", r.CompletedFraction)
	if r.CompletedDuringFaultFraction != nil {
		fmt.Fprintf(t, "completed during the fault\t%.4f of the run without it\n", *r.CompletedDuringFaultFraction)
	}
	fmt.Fprintf(t, "goodput\t%.1f tasks/s\n", r.GoodputTasksPerSecond)
	fmt.Fprintf(t, "slowest change in force\t%.3f s\n", r.MaxInForceSeconds)
	fmt.Fprintf(t, "duplicate starts\t%d\n", r.DuplicateStarts)
	fmt.Fprintf(t, "partial answers\t%d\n", r.PartialAnswers)
	fmt.Fprintf(t, "misdelivered answers\t%d\n", r.MisdeliveredAnswers)
	fmt.Fprintf(t, "untrue not_run\t%d\n", r.UntrueNotRun)
	fmt.Fprintf(t, "late domain starts\t%d\n", r.LateDomainStarts)
	fmt.Fprintf(t, "configuration reverts\t%d\n", r.ConfigReverts)
	fmt.Fprintf(t, "requests cut off\t%d\n", r.CutOffRequests)
	return t.Flush()
}
