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
)

// process is one program on a host of its own, which is started again when it ends.
type process struct {
	name string
	argv []string
	log  string

	// turn is held by whoever ends and starts the process.
	turn sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the starts; dead is closed at the end of the present life.
	life int
	dead chan struct{}
	// upset is when the last unplanned fault of this process or its links ended, and
	// upsets counts those that go on.
	upset  time.Time
	upsets int
}

// start starts the next life.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The end of the soak ends its processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	dead := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.dead = cmd, dead
	p.life++
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended is checked where a stop was planned.
		close(dead)
	}()
	return nil
}

// state returns the present life, its ID, and a channel that is closed at its end.
func (p *process) state() (life, pid int, dead <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.cmd.Process.Pid, p.dead
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.dead:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the present life for good.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_, _, dead := p.state()
	<-dead
}

// disturb notes the begin of an unplanned fault, and its end when the returned
// function is called.
func (p *process) disturb() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upsets++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.upsets--
		p.upset = time.Now()
	})
}

// calmSince returns since when nothing unplanned has disturbed the process, and false
// while something does.
func (p *process) calmSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upset, p.upsets == 0
}

// usage returns the resident memory in bytes and the open descriptors.
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

// settingsFile writes the settings of a process.
func settingsFile(dir, name string, sections ...string) (string, error) {
	path := filepath.Join(dir, name+".ini")
	var b bytes.Buffer
	for _, s := range sections {
		fmt.Fprintln(&b, s)
	}
	return path, os.WriteFile(path, b.Bytes(), 0o644)
}
