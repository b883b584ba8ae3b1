package command

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/dispatchd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lesseed"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

func addDispatcher(app *kingpin.Application) {
	cmd := app.Command("dispatcher", "Run a dispatcher for workers that run tasks under leases. Example: dogwoodgauge dispatcher --settings dispatcher.ini")
	path := settingsFlag(cmd)
	cmd.Action(action(func() error {
		signals := catchSignals()
		s, err := settings.LoadDispatcher(*path)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		store := platform.NewStore(s.Store.Address)
		return withBufferedLog(func() error {
			d, err := dispatchd.New(dispatchd.Config{Settings: s, Platform: dispatchd.Platform{
				Operators: store.Operators(), Agents: store.Agents(), DecodeSite: platform.DecodeSite,
				Callers: platform.CallersHandler, Ready: platform.ReadyHandler,
			}})
			if err != nil {
				return err
			}
			return runReloading(d, signals, newReloader(*path, d.Metrics(), func() error {
				s, err := settings.LoadDispatcher(*path)
				if err == nil {
					d.Apply(s)
				}
				return err
			}))
		})
	}))
}

func addLessee(app *kingpin.Application) {
	cmd := app.Command("lease", "Run the agent of an upstream that runs tasks under leases. Example: dogwoodgauge-agent lease --settings lessee.ini")
	path := settingsFlag(cmd)
	cmd.Action(action(func() error {
		signals := catchSignals()
		s, err := settings.LoadLessee(*path)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		store := platform.NewStore(s.Store.Address)
		return withBufferedLog(func() error {
			d, err := lesseed.New(lesseed.Config{Settings: s, Platform: lesseed.Platform{
				Operators: store.Operators(), Agents: store.Agents(), Upstreams: store.Upstreams(),
				DecodeSite: platform.DecodeSite, Upstream: platform.NewUpstream(s.Upstream.Address), Announcements: platform.AnnouncementsHandler,
			}})
			if err != nil {
				return err
			}
			return runReloading(d, signals, newReloader(*path, d.Metrics(), func() error {
				s, err := settings.LoadLessee(*path)
				if err == nil {
					d.Apply(s)
				}
				return err
			}))
		})
	}))
}

// runReloading runs d, and runs r until d stops.
func runReloading(d daemon, signals processSignals, r *reloader) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.run(ctx, signals.reload)
	return runDaemon(d, signals)
}

// withBufferedLog calls run. Until run returns, log lines are written to standard output
// through a bounded buffer, so that a slow reader can't block the process.
func withBufferedLog(run func() error) error {
	lines := telemetry.NewLineBuffer(os.Stdout)
	telemetry.LogJSONTo(lines)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		lines.Run(stop)
	}()
	err := run()
	close(stop)
	<-stopped
	return err
}
