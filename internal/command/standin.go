package command

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/logservice"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

func addStandin(app *kingpin.Application, std Streams) {
	cmd := app.Command("standin", "Run a stand-in for a part of the platform, to try the system out.")
	addStandinLog(cmd, std)
	addStandinUpstream(cmd, std)
}

func addStandinLog(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("log", "Run an append-only log in memory.")
	var cfg logservice.Config
	cmd.Flag("listen", "IP:port to serve on.").Default("127.0.0.1:7000").StringVar(&cfg.Listen)
	cmd.Flag("max-records", "Records kept in each stream; 0 keeps all.").IntVar(&cfg.MaxRecords)
	cmd.Flag("max-age", "Age up to which records are kept; 0 keeps all.").DurationVar(&cfg.MaxAge)
	cmd.Action(action(func() error {
		return untilSignal(func(ctx context.Context) error {
			fmt.Fprintln(std.Out, "log stand-in on", cfg.Listen)
			return logservice.Run(ctx, cfg)
		})
	}))
}

func addStandinUpstream(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("upstream", "Run an upstream whose tasks wait and answer.")
	cfg := upstream.Config{Labels: label.Set{}}
	cmd.Flag("listen", "IP:port to serve on.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	cmd.Flag("agent", "HTTP IP:port of the agent on the upstream's host.").Required().StringVar(&cfg.Agent)
	cmd.Flag("name", "Name of the upstream.").Default("upstream").StringVar(&cfg.Name)
	cmd.Flag("slots", "Tasks that run at the same time.").Default("8").IntVar(&cfg.Slots)
	cmd.Flag("connections", "Connections that are accepted.").Default("64").IntVar(&cfg.Connections)
	cmd.Flag("label", "Label key=value; may be repeated.").StringMapVar((*map[string]string)(&cfg.Labels))
	cmd.Flag("ttl", "Time to live of an announcement.").Default("10s").DurationVar(&cfg.TTL)
	cmd.Flag("task", "Duration of a task whose payload names none.").Default("100ms").DurationVar(&cfg.DefaultTaskDuration)
	cmd.Action(action(func() error {
		cfg.Ledger = upstream.NewLedger()
		fmt.Fprintln(std.Out, "upstream stand-in", cfg.Name, "beside", cfg.Agent)
		err := untilSignal(func(ctx context.Context) error { return upstream.Run(ctx, cfg) })
		counts := cfg.Ledger.Counts()
		fmt.Fprintf(std.Out, "starts %d ended %d duplicates %d\n", counts.Starts, counts.Answered, counts.DuplicateStarts)
		return err
	}))
}

// standinStopTimeout bounds the time that a stand-in gets to stop after a signal.
const standinStopTimeout = 5 * time.Second

// untilSignal calls f with a context that ends at the first SIGTERM or SIGINT. It
// returns when f returns, or standinStopTimeout after the signal.
func untilSignal(f func(context.Context) error) error {
	ctx, stop := signalContext()
	defer stop()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	case <-time.After(standinStopTimeout):
		return nil
	}
}
