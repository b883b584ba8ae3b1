package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/agentd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/dispatchd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lesseed"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// agentGCPercent is the growth of an agent's heap, in percent, that starts a garbage
// collection, unless the environment variable GOGC is set. It is below Go's default
// of 100: the agent shares its host with upstreams, where memory is scarcer than
// processor time.
const agentGCPercent = 50

// daemon is one of the long-running processes. Run completes the work in flight after
// its context ends, then returns; Kill makes Run return at once.
type daemon interface {
	Run(ctx context.Context) error
	Kill()
}

func addEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run an entry. Example: dogwoodgauge entry --settings entry.ini")
	path := settingsFlag(cmd)
	cmd.Action(action(func() error {
		signals := catchSignals()
		s, err := settings.LoadEntry(*path)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		debug.SetMemoryLimit(process.HeapLimit(int64(s.Limits.Memory), s.Limits.MaxConnections()))
		d, err := entryd.New(entryd.Config{Settings: s})
		if err != nil {
			return err
		}
		return runDaemon(d, signals)
	}))
}

func addAgent(app *kingpin.Application) {
	cmd := app.Command("run", "Run the agent of upstreams that accept tasks over HTTP; the default. Example: dogwoodgauge-agent --settings agent.ini").Default()
	path := settingsFlag(cmd)
	cmd.Action(action(func() error {
		signals := catchSignals()
		s, err := settings.LoadAgent(*path)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		if os.Getenv("GOGC") == "" {
			debug.SetGCPercent(agentGCPercent)
		}
		d, err := agentd.New(agentd.Config{Settings: s})
		if err != nil {
			return err
		}
		return runDaemon(d, signals)
	}))
}

func settingsFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("settings", "Settings file.").Required().String()
}

// processSignals receives the signals of a long-running process.
type processSignals struct {
	// stop receives SIGTERM and SIGINT, and reload SIGHUP.
	stop, reload chan os.Signal
}

// catchSignals keeps signals from ending the process until its daemon handles them. It is
// called before the settings are read, since signals may come while the daemon is built. A
// process that reads its settings only at its start leaves SIGHUP unread.
func catchSignals() processSignals {
	s := processSignals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// runDaemon runs d. The first SIGTERM or SIGINT makes d complete its work in flight
// and stop; a second one stops d at once.
func runDaemon(d daemon, signals processSignals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		for _, stop := range []func(){cancel, d.Kill} {
			select {
			case <-signals.stop:
				stop()
			case <-stopped:
				return
			}
		}
	}()
	return withCutOffCode(d.Run(ctx))
}

// withCutOffCode adds CodeCutOff to an error that reports that a stop cut off work.
func withCutOffCode(err error) error {
	for _, cutOff := range []error{
		entryd.ErrGraceExpired, entryd.ErrKilled, agentd.ErrGraceExpired, agentd.ErrKilled,
		dispatchd.ErrGraceExpired, dispatchd.ErrKilled, lesseed.ErrGraceExpired, lesseed.ErrKilled,
	} {
		if errors.Is(err, cutOff) {
			return withCode(CodeCutOff, err)
		}
	}
	return err
}
