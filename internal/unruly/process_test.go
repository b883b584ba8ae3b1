// Package unruly tests the processes against clients that send too much, stop in the middle
// or never read. The tests start the programs of cmd/ as processes of their own. They check
// that a process stays alive, within its memory and its descriptors, and that it answers an
// ordinary request afterwards.
package unruly

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// programs is the directory of the programs that TestMain has built. They are built without
// the race detector, which multiplies their memory.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "unruly")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

// timeout bounds every wait of these tests. No check depends on how long something takes.
const timeout = 90 * time.Second

// addresses counts the addresses of this process.
var addresses atomic.Uint32

// newIP returns a loopback address of its own for a process.
func newIP() string {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(32 + addresses.Add(1)), byte(pid >> 8), byte(pid)}).String()
}

// process is one program under test.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	log     string
	stopped chan struct{}
	// peak is the largest sum of the resident memory and the unread bytes of its sockets, and
	// descriptors the largest number of open descriptors, of all samples.
	mu                sync.Mutex
	peak, unread      int64
	descriptors       int
	ip                string
	samplingCompleted chan struct{}
}

// startProcess starts a program with a settings file. The process ends with the test.
func startProcess(t *testing.T, ip, name, settings string, argv ...string) *process {
	t.Helper()
	dir := t.TempDir()
	p := &process{t: t, name: name, ip: ip, log: filepath.Join(dir, name+".log"), stopped: make(chan struct{}), samplingCompleted: make(chan struct{})}
	if settings != "" {
		path := filepath.Join(dir, name+".ini")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		argv = append(argv, "--settings", path)
	}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(programs, argv[0]), argv[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.stopped)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.stopped
		<-p.samplingCompleted
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, p.logTail())
		}
	})
	return p
}

func (p *process) logTail() string {
	const tail = 2000
	text, _ := os.ReadFile(p.log)
	return string(text[max(0, len(text)-tail):])
}

// alive reports whether the process has not exited.
func (p *process) alive() bool {
	select {
	case <-p.stopped:
		return false
	default:
		return true
	}
}

// sampleInterval is the time between two samples of the memory and the descriptors.
const sampleInterval = 20 * time.Millisecond

// sample records the use of memory and descriptors until the process exits.
func (p *process) sample() {
	defer close(p.samplingCompleted)
	for p.alive() {
		resident := p.status("VmRSS:")
		unread := unreadBytes(p.ip)
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.mu.Lock()
		p.peak, p.unread = max(p.peak, resident+unread), max(p.unread, unread)
		p.descriptors = max(p.descriptors, len(entries))
		p.mu.Unlock()
		time.Sleep(sampleInterval)
	}
}

// status returns a size in the status of the process, in bytes, or 0 if it has exited.
func (p *process) status(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == field {
			kib, _ := strconv.ParseInt(f[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadBytes returns the number of bytes in the receive queues of all connections that were
// accepted at an IP address.
func unreadBytes(ip string) int64 {
	addr := netip.MustParseAddr(ip).As4()
	local := []byte(fmt.Sprintf("%02X%02X%02X%02X:", addr[3], addr[2], addr[1], addr[0]))
	text, _ := os.ReadFile("/proc/net/tcp")
	var sum int64
	for line := range bytes.Lines(text) {
		f := bytes.Fields(line)
		const established = "01"
		if len(f) < 5 || !bytes.HasPrefix(f[1], local) || string(f[3]) != established {
			continue
		}
		_, received, _ := bytes.Cut(f[4], []byte(":"))
		n, _ := strconv.ParseInt(string(received), 16, 64)
		sum += n
	}
	return sum
}

// check checks that the process is alive and was never above its bounds.
func (p *process) check(memory int64, descriptors int) {
	p.t.Helper()
	if !p.alive() {
		p.t.Errorf("%s has ended", p.name)
		return
	}
	p.checkBounds(p.status("VmHWM:"), memory, descriptors)
}

// checkBounds checks the highest resident memory so far and the samples.
func (p *process) checkBounds(highest, memory int64, descriptors int) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("%s: highest resident memory %d KiB, with unread bytes %d KiB (unread %d KiB); bound %d KiB; descriptors %d of %d",
		p.name, highest>>10, p.peak>>10, p.unread>>10, memory>>10, p.descriptors, descriptors)
	if highest > memory || p.peak > memory {
		p.t.Errorf("%s: memory above its bound of %d KiB: highest resident memory %d KiB, with unread bytes %d KiB",
			p.name, memory>>10, highest>>10, p.peak>>10)
	}
	if p.descriptors > descriptors {
		p.t.Errorf("%s: %d descriptors, the bound is %d", p.name, p.descriptors, descriptors)
	}
}

// eventually calls try until it returns nil, and fails the test with its last error.
func eventually(t *testing.T, what string, try func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// listen opens a port for a stand-in.
func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// lastStatus waits until the process exits and returns the last size that its status had.
func (p *process) lastStatus(field string) int64 {
	p.t.Helper()
	var last int64
	for end := time.Now().Add(timeout); p.alive(); time.Sleep(time.Millisecond) {
		last = max(last, p.status(field))
		if time.Now().After(end) {
			p.t.Fatalf("%s has not ended after its SIGTERM", p.name)
		}
	}
	return last
}
