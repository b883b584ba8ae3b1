package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
)

// process is one program of the deployment. The soak treats it as if it were alone on a
// host.
type process struct {
	name    string
	argv    []string
	logPath string

	// restartMu is held while a fault stops the process and starts it again. In an agent it
	// also serializes restarts of the local upstream with those of the agent.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the starts. The current incarnation began at startedAt; exited is
	// closed when it exits.
	incarnation int
	startedAt   time.Time
	exited      chan struct{}
	// linkFaults holds the unplanned faults of the process's links or local upstream,
	// processFaults those of the process itself, and storeFaults those of the store towards
	// the process. linkFaults excuses no violation.
	linkFaults, processFaults, storeFaults faultState
}

// start starts the next incarnation.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the soak exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.startedAt = cmd, exited, time.Now()
	p.incarnation++
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // The exit status is not checked: faults kill processes.
		close(exited)
	}()
	return nil
}

const (
	// startTries bounds the tries to start a process again. A port may stay in use for a
	// moment after the process that held it has exited.
	startTries = 5
	// minRunTime is how long a process must run to count as started.
	minRunTime = 200 * time.Millisecond
)

// startAgain starts the next incarnation, as the platform does when a process exits.
func (p *process) startAgain() error {
	for range startTries {
		if err := p.start(); err != nil {
			return err
		}
		if _, _, exited := p.state(); lifecycle.Wait(minRunTime, exited) {
			return nil
		}
	}
	return errors.Errorf("%s exited %d times right after its start; see %s", p.name, startTries, p.logPath)
}

// state returns the number and the process ID of the current incarnation, and a channel
// that is closed when it exits.
func (p *process) state() (incarnation, pid int, exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd.Process.Pid, p.exited
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the current incarnation and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_, _, exited := p.state()
	<-exited
}

// faultState holds the number of unplanned faults in progress and the time at which the
// last one ended.
type faultState struct {
	active      int
	lastEndedAt time.Time
}

// beginLinkFault records the start of an unplanned fault of the process's links or local
// upstream. The returned function records its end.
func (p *process) beginLinkFault() (end func()) { return p.beginFault(&p.linkFaults) }

// beginProcessFault does the same for a fault of the process itself, beginStoreFault for a
// fault of the store towards the process.
func (p *process) beginProcessFault() (end func()) { return p.beginFault(&p.processFaults) }
func (p *process) beginStoreFault() (end func())   { return p.beginFault(&p.storeFaults) }

func (p *process) beginFault(f *faultState) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.active++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		f.active--
		f.lastEndedAt = time.Now()
	})
}

// storeReachableSince returns the time since which the process has been able to read the
// store, and false while a fault prevents this. A start of the process counts as the end of
// such a fault, also after a planned stop: the process reads the store anew.
func (p *process) storeReachableSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.startedAt
	for _, t := range []time.Time{p.storeFaults.lastEndedAt, p.processFaults.lastEndedAt} {
		if t.After(last) {
			last = t
		}
	}
	return last, p.storeFaults.active+p.processFaults.active == 0
}

// undisturbedSince returns the end of the last unplanned fault of the process itself, and
// false while there is one. Faults of links do not count: callers reach the process without
// a proxy.
func (p *process) undisturbedSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processFaults.lastEndedAt, p.processFaults.active == 0
}

// usage returns the resident memory in bytes and the number of open descriptors.
func (p *process) usage() (rss int64, fds int, err error) {
	_, pid, _ := p.state()
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				return 0, 0, err
			}
			rss = kib << 10
		}
	}
	entries, err := os.ReadDir(filepath.Join(dir, "fd"))
	return rss, len(entries), err
}

// settingsFile writes the settings of a process and returns the path of the file.
func settingsFile(dir, name string, sections ...string) (string, error) {
	path := filepath.Join(dir, name+".ini")
	var b bytes.Buffer
	for _, s := range sections {
		fmt.Fprintln(&b, s)
	}
	return path, os.WriteFile(path, b.Bytes(), 0o644)
}
