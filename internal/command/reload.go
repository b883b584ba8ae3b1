package command

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// reloadPollInterval is the time between two checks whether a settings file has changed.
// Changed settings must be in force within seconds even without a signal.
const reloadPollInterval = time.Second

// reloader applies the changes of a settings file while the process runs.
type reloader struct {
	path string
	// apply reads and checks the file and applies the settings that may change while
	// the process runs. After an error, all previous settings are still in force.
	apply   func() error
	metrics *telemetry.Metrics
	logs    *telemetry.Logger
	// lastContent is what the file contained at the last check.
	lastContent []byte
}

func newReloader(path string, metrics *telemetry.Metrics, apply func() error) *reloader {
	lastContent, _ := os.ReadFile(path) // Loading the settings has reported a file that can't be read.
	return &reloader{path: path, apply: apply, metrics: metrics, logs: telemetry.NewLogger("settings"), lastContent: lastContent}
}

// run reloads the file at each signal and when its content has changed, until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	poll := time.NewTicker(reloadPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-poll.C:
			if content, err := os.ReadFile(r.path); err == nil && !bytes.Equal(content, r.lastContent) {
				r.lastContent = content
				r.reload("file_changed")
			}
		}
	}
}

func (r *reloader) reload(cause string) {
	if err := r.apply(); err != nil {
		r.metrics.SettingsReloads("faulty").Inc()
		r.logs.Error(err, "the settings file is faulty; the former settings stay", "cause", cause)
		return
	}
	r.metrics.SettingsReloads("ok").Inc()
	r.logs.Info("reloaded", "cause", cause, "file", r.path)
}
