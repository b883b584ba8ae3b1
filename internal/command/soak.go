package command

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/soak"
)

// agentProgram is the name of the program that runs agents.
const agentProgram = "dogwoodgauge-agent"

func addSoak(app *kingpin.Application, std Streams) {
	cmd := app.Command("soak", "Run dispatchers and agents as processes on this machine, inject random faults and check that every guarantee holds. Example: dogwoodgauge soak --seed 7 --duration 1m")
	var cfg soak.Config
	cmd.Flag("seed", "Seed of the faults and jobs.").Default("1").Uint64Var(&cfg.Seed)
	cmd.Flag("duration", "How long faults are injected; starting and recovering take some 20 s more.").Default("30s").DurationVar(&cfg.Duration)
	cmd.Flag("dispatchers", "Number of dispatchers.").Default("3").IntVar(&cfg.Dispatchers)
	cmd.Flag("agents", "Number of agents, each with a stand-in upstream.").Default("6").IntVar(&cfg.Agents)
	cmd.Flag("callers", "Number of callers, each with one job at a time.").Default("20").IntVar(&cfg.Callers)
	cmd.Flag("slack", "Factor for the bounds on times, for a machine that is busy with other work.").Default("1").Float64Var(&cfg.Slack)
	cmd.Flag("dir", "Directory for settings and logs, which are kept. Without one they are kept only after a violation.").StringVar(&cfg.Dir)
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		return runSoak(std, cfg, *asJSON)
	}))
}

func runSoak(std Streams, cfg soak.Config, asJSON bool) error {
	var err error
	if cfg.Dispatcher, err = os.Executable(); err != nil {
		return err
	}
	if cfg.Agent, err = findAgent(cfg.Dispatcher); err != nil {
		return err
	}
	temporary := cfg.Dir == ""
	if temporary {
		cfg.Dir, err = os.MkdirTemp("", "dogwoodgauge-soak-")
	} else {
		err = os.MkdirAll(cfg.Dir, 0o755)
	}
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return errors.Wrapf(err, "soak (logs are in %s)", cfg.Dir)
	}
	if err := printSoak(std, report, asJSON); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errors.Errorf("guarantees were violated; logs are in %s", cfg.Dir)
	}
	if temporary {
		return os.RemoveAll(cfg.Dir)
	}
	return nil
}

// findAgent returns the path of the agents' program: in the directory of the program self,
// or else in PATH.
func findAgent(self string) (string, error) {
	sibling := filepath.Join(filepath.Dir(self), agentProgram)
	if _, err := os.Stat(sibling); err == nil {
		return sibling, nil
	}
	return exec.LookPath(agentProgram)
}

func printSoak(std Streams, r soak.Report, asJSON bool) error {
	if asJSON {
		return writeJSON(std.Out, r)
	}
	fmt.Fprintf(std.Out, "seed %d: %d jobs, %d starts, answers %v\n", r.Seed, r.Jobs, r.Starts, r.Answers)
	fmt.Fprintf(std.Out, "faults %v\n", r.Faults)
	fmt.Fprintf(std.Out, "largest process: %d MiB, %d descriptors\n", r.MaxResident>>20, r.MaxDescriptors)
	fmt.Fprintf(std.Out, "violations %v\n", r.Violations)
	for _, v := range r.Details {
		fmt.Fprintf(std.Out, "  %v %s: %s\n", v.After.Round(time.Millisecond), v.Check, v.Detail)
	}
	return nil
}
