package command

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/demo"
)

// demoTimeout limits the duration of the demo.
const demoTimeout = time.Minute

func addDemo(app *kingpin.Application, std Streams) {
	cmd := app.Command("demo", "Run three entries and eleven agents in this process, send jobs through them, "+
		"take a failure domain out and back. Example: dogwoodgauge demo --json")
	o := demo.Options{Out: std.Out}
	cmd.Flag("seed", "Seed of the jobs.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("json", "Print one JSON object.").BoolVar(&o.JSON)
	logs := logsFlag(cmd)
	cmd.Action(action(func() error {
		if err := discardLogs(*logs); err != nil {
			return err
		}
		ctx, stop := signalContext()
		defer stop()
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		return demo.Run(ctx, o)
	}))
}

// signalContext returns a context that ends at the first SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
