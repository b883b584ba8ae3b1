package dogwoodgauge_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodgauge/dogwoodgauge/internal/command"
)

// untilTimeout bounds how long the command until waits for matching output.
const untilTimeout = 60 * time.Second

// firstPort is the lowest port that the command addresses gives out.
const firstPort = 7001

// untilInterval is the time between two tries of the command until.
const untilInterval = 50 * time.Millisecond

func TestMain(m *testing.M) {
	std := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	testscript.Main(m, map[string]func(){
		"httpget":            httpget,
		"dogwoodgauge":       func() { os.Exit(int(command.Main(os.Args[1:], std))) },
		"dogwoodgauge-agent": func() { os.Exit(int(command.AgentMain(os.Args[1:], std))) },
	})
}

// httpget is a program that prints the body of the response to a GET of a URL.
func httpget() {
	resp, err := http.Get(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(os.Stdout, resp.Body)
}

// TestScripts runs the scripts of testdata/script. Each script starts its own processes,
// which communicate over loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			// Without the setting, the race detector waits for a second at every exit.
			env.Setenv("GORACE", "atexit_sleep_ms=10")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addresses": addresses,
			"expand":    expand,
			"edit":      edit,
			"envfile":   envfile,
			"until":     until,
			"code":      code,
			"sigterm":   sigterm,
			"sigkill":   sigkill,
			"signal":    signal,
		},
	})
}

// addressedScripts counts the scripts of this process that have called addresses.
var addressedScripts atomic.Uint32

// addresses NAME... sets variables to addresses on loopback. Each script of each test
// process has its own IP address in 127.0.0.0/8. Its ports therefore can't be in use by
// another process or by an outgoing connection.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + addressedScripts.Add(1)), byte(pid >> 8), byte(pid)})
	for i, name := range names {
		ts.Setenv(name, netip.AddrPortFrom(ip, uint16(firstPort+i)).String())
	}
}

// expand FILE... replaces $NAME in files with the values of variables.
func expand(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// edit FILE OLD NEW replaces the first OLD in a file with NEW. It fails the script when
// the file does not contain OLD.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("file %s does not contain %q", args[0], args[1])
	}
	text = strings.Replace(text, args[1], args[2], 1)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// envfile NAME FILE sets a variable to the trimmed contents of a file.
func envfile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

// until REGEXP PROGRAM ARG... runs a program repeatedly until its standard output
// matches, and fails the script after untilTimeout. For each try it sets the variable NOW
// to the time in milliseconds since 1970, and replaces NOW in the arguments with it.
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	ctx, cancel := context.WithTimeout(context.Background(), untilTimeout)
	defer cancel()
	for ctx.Err() == nil {
		now := strconv.FormatInt(time.Now().UnixMilli(), 10)
		ts.Setenv("NOW", now)
		_ = ts.Exec(args[1], replaceAll(args[2:], "NOW", now)...)
		if pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(untilInterval)
	}
	ts.Fatalf("the standard output did not match %s within a minute", args[0])
}

func replaceAll(args []string, old, replacement string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		out[i] = strings.ReplaceAll(arg, old, replacement)
	}
	return out
}

// code N PROGRAM ARG... runs a program and checks its exit code.
func code(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("got exit code %d, want %d", got, want)
	}
}

// sigterm ARG sends SIGTERM to the background programs that have the argument.
func sigterm(ts *testscript.TestScript, _ bool, args []string) {
	signalAll(ts, args[0], syscall.SIGTERM)
}

// sigkill ARG sends SIGKILL to the background programs that have the argument.
func sigkill(ts *testscript.TestScript, _ bool, args []string) {
	signalAll(ts, args[0], syscall.SIGKILL)
}

// signal STOP|CONT|HUP ARG pauses the background programs that have the argument,
// resumes them, or makes them read their settings again. Paused programs are resumed
// when the script ends, since they could not be stopped otherwise.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP}
	for _, cmd := range signalAll(ts, args[1], signals[args[0]]) {
		ts.Defer(func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
	}
}

// signalAll sends a signal to the background programs that have the argument, and
// returns them. It fails the script when there is none.
func signalAll(ts *testscript.TestScript, arg string, sig os.Signal) []*exec.Cmd {
	var found []*exec.Cmd
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, arg) {
			found = append(found, cmd)
			ts.Check(cmd.Process.Signal(sig))
		}
	}
	if len(found) == 0 {
		ts.Fatalf("no background program has the argument %s", arg)
	}
	return found
}
