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

// process is one program on a host of its own, which is started again when it ends.
type process struct {
	name string
	argv []string
	log  string

	// turn is held by whoever ends and starts the process.
	turn sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the starts; the present one began at born, and dead is closed at its end.
	life int
	born time.Time
	dead chan struct{}
	// links, self and store are the unplanned faults of its links, of the process itself,
	// and of the store as it reaches it.
	links, self, store upsets
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
	p.cmd, p.dead, p.born = cmd, dead, time.Now()
	p.life++
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended is checked where a stop was planned.
		close(dead)
	}()
	return nil
}

const (
	// startTries bounds the starts of one life. A port may still be taken for a moment
	// after the process that held it has ended.
	startTries = 5
	// startedAfter is how long a process must run to count as started.
	startedAfter = 200 * time.Millisecond
)

// startAgain starts the next life, as the platform does with a process that ends.
func (p *process) startAgain() error {
	for range startTries {
		if err := p.start(); err != nil {
			return err
		}
		if _, _, dead := p.state(); lifecycle.Wait(startedAfter, dead) {
			return nil
		}
	}
	return errors.Errorf("%s ended %d times right after its start; see %s", p.name, startTries, p.log)
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

// upsets counts the unplanned faults that go on, and says when the last one ended.
type upsets struct {
	going int
	ended time.Time
}

// disturb notes the begin of an unplanned fault of the links of the process, and its
// end when the returned function is called.
func (p *process) disturb() (end func()) { return p.note(&p.links) }

// strike does the same for a fault of the process itself, and cutStore for one of the
// store as the process reaches it.
func (p *process) strike() (end func())   { return p.note(&p.self) }
func (p *process) cutStore() (end func()) { return p.note(&p.store) }

func (p *process) note(u *upsets) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.going++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		u.going--
		u.ended = time.Now()
	})
}

// informedSince returns since when nothing has kept the process from what the store
// says, and false while something does. A planned restart does for a moment, too.
func (p *process) informedSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.born
	for _, t := range []time.Time{p.store.ended, p.self.ended} {
		if t.After(last) {
			last = t
		}
	}
	return last, p.store.going+p.self.going == 0
}

// soundSince returns since when the process itself has been left alone, and false while
// it is not. Callers reach it without a proxy: faults of links are no excuse towards
// them.
func (p *process) soundSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self.ended, p.self.going == 0
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
