package dogwoodgauge_test

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodgauge/dogwoodgauge/internal/command"
)

// untilLimit bounds the wait of the command until.
const untilLimit = 60 * time.Second

// untilPause is the time between two tries of the command until.
const untilPause = 50 * time.Millisecond

func TestMain(m *testing.M) {
	std := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	testscript.Main(m, map[string]func(){
		"dogwoodgauge":       func() { os.Exit(int(command.Main(os.Args[1:], std))) },
		"dogwoodgauge-agent": func() { os.Exit(int(command.AgentMain(os.Args[1:], std))) },
	})
}

// TestScripts runs the scripts of testdata/script, each with processes of its
// own over loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addresses": addresses,
			"expand":    expand,
			"envfile":   envfile,
			"now":       now,
			"until":     until,
			"code":      code,
			"sigterm":   sigterm,
			"sigkill":   sigkill,
		},
	})
}

// addresses NAME... sets variables to free addresses on loopback.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer l.Close()
		ts.Setenv(name, l.Addr().String())
	}
}

// expand FILE... replaces $NAME in files by the values of variables.
func expand(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// envfile NAME FILE sets a variable to the trimmed contents of a file.
func envfile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

// now NAME sets a variable to the time in milliseconds since 1970.
func now(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.FormatInt(time.Now().UnixMilli(), 10))
}

// until REGEXP PROGRAM ARG... runs a program again and again until its standard
// output matches.
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	ctx, cancel := context.WithTimeout(context.Background(), untilLimit)
	defer cancel()
	for ctx.Err() == nil {
		_ = ts.Exec(args[1], args[2:]...)
		if pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(untilPause)
	}
	ts.Fatalf("output never matched %s", args[0])
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
		ts.Fatalf("exit code %d, want %d", got, want)
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

func signalAll(ts *testscript.TestScript, arg string, sig os.Signal) {
	found := false
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, arg) {
			found = true
			ts.Check(cmd.Process.Signal(sig))
		}
	}
	if !found {
		ts.Fatalf("no background program has the argument %s", arg)
	}
}
