package dogwoodgauge_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// earlySettings are the settings of each role with its listening addresses.
const earlySettings = `[node]
role = %s
id = node-1
domain = recife-a
[listen]
%s
`

// TestSignalWhileStarting checks that a signal which arrives while a process reads its settings
// does not end it: SIGHUP has no effect or reloads the settings, and SIGTERM is a planned stop.
//
// The settings are a named pipe at first, so that the process waits early in its start.
func TestSignalWhileStarting(t *testing.T) {
	const transport, metrics, store, log = "transport = 127.0.0.1:0", "\nmetrics = 127.0.0.1:0", "\n[store]\naddress = 127.0.0.1:1", "\n[log]\naddress = 127.0.0.1:1"
	for _, tt := range []struct {
		program, command, role, listen string
		reloads                        bool
	}{
		{"dogwoodgauge", "dispatcher", "dispatcher", "callers = 127.0.0.1:0\nready = 127.0.0.1:0\n" + transport + metrics + store, true},
		{"dogwoodgauge-agent", "lease", "lessee", "announcements = 127.0.0.1:0\n" + transport + metrics + store + "\n[upstream]\naddress = 127.0.0.1:1", true},
		{"dogwoodgauge", "entry", "entry", "http = 127.0.0.1:0\n" + transport + metrics + log, false},
		{"dogwoodgauge-agent", "run", "agent", "upstream = 127.0.0.1:0\n" + transport + log + "\n[worker]\nname = worker-1", false},
	} {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			t.Run(tt.command+"/"+sig.String(), func(t *testing.T) {
				t.Parallel()
				path := filepath.Join(t.TempDir(), "settings.ini")
				check(t, syscall.Mkfifo(path, 0o600))
				cmd := exec.Command(tt.program, tt.command, "--settings", path)
				cmd.Stderr = os.Stderr
				stdout, err := cmd.StdoutPipe()
				check(t, err)
				check(t, cmd.Start())
				defer func() { _ = cmd.Process.Kill() }()
				pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // Returns once the process has opened it.
				check(t, err)
				check(t, cmd.Process.Signal(sig))
				text := fmt.Sprintf(earlySettings, tt.role, tt.listen)
				check(t, os.WriteFile(path+".new", []byte(text), 0o600))
				check(t, os.Rename(path+".new", path))
				_, _ = pipe.WriteString(text) // Fails if the process has ended, which Wait reports.
				_ = pipe.Close()

				lines := bufio.NewScanner(stdout)
				awaited := sig != syscall.SIGHUP || !tt.reloads
				for !awaited && lines.Scan() {
					awaited = strings.Contains(lines.Text(), `"cause":"signal"`)
				}
				if !awaited {
					t.Error("the signal has not reloaded the settings")
				}
				if sig == syscall.SIGHUP {
					_ = cmd.Process.Signal(syscall.SIGTERM)
				}
				for lines.Scan() {
					t.Log(lines.Text())
				}
				if err := cmd.Wait(); err != nil {
					t.Errorf("got %v, want a planned stop", err)
				}
			})
		}
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
