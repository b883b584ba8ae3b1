// Package command implements the command lines of dogwoodgauge and
// dogwoodgauge-agent. The constants of type Code are their exit codes.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// Code is an exit code.
type Code int

// The exit codes.
const (
	// CodeOK: the command did its work.
	CodeOK Code = 0
	// CodeFailed: the command failed.
	CodeFailed Code = 1
	// CodeUsage: the command line, the settings or a configuration is wrong.
	CodeUsage Code = 2
	// CodeJobFailed: the job's answer is marked failed.
	CodeJobFailed Code = 3
	// CodeNoAnswer: no answer was received, so the effect of the request is unknown.
	CodeNoAnswer Code = 4
	// CodeCutOff: the process stopped before its work in flight was complete.
	CodeCutOff Code = 5
	// CodeConflict: the change is valid but was rejected, for example because another
	// operator's change came first.
	CodeConflict Code = 6
)

// exitCodes is the help text that explains the exit codes.
const exitCodes = `Exit codes: 0 done; 1 failed; 2 wrong command line, settings or configuration; ` +
	`3 the job failed; 4 no answer, effect unknown; 5 a stop cut off work in flight; 6 another change came first.`

// Error is an error with an exit code.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func withCode(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// printedError is an error whose message the command has printed already.
type printedError struct{ error }

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// terminated is the panic value that leaves the command-line parser after --help
// or --version; runApp recovers from it.
type terminated struct{ code Code }

// Main runs the command line of dogwoodgauge and returns the exit code.
func Main(args []string, std Streams) Code {
	app := newApp("dogwoodgauge", "Dispatcher for sub-second tasks. "+exitCodes, std)
	addEntry(app)
	addDispatcher(app)
	addDemo(app, std)
	addExperiment(app, std)
	addSoak(app, std)
	addJob(app, std)
	addIDs(app, std)
	addConfig(app, std)
	addDomain(app, std)
	addStatus(app, std)
	addExplain(app, std)
	addCheckSettings(app, std)
	addStandin(app, std)
	addVersion(app, std)
	addCompletion(app)
	return runApp(app, args, std)
}

// AgentMain runs the command line of dogwoodgauge-agent and returns the exit
// code.
func AgentMain(args []string, std Streams) Code {
	app := newApp("dogwoodgauge-agent", "Agent of the upstreams on its host. "+exitCodes, std)
	addAgent(app)
	addLessee(app)
	return runApp(app, args, std)
}

func newApp(name, help string, std Streams) *kingpin.Application {
	app := kingpin.New(name, help)
	app.UsageWriter(std.Out)
	app.ErrorWriter(std.Err)
	app.Version(versionText())
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) { panic(terminated{Code(status)}) })
	return app
}

func runApp(app *kingpin.Application, args []string, std Streams) (code Code) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case terminated:
			code = r.code
		default:
			panic(r)
		}
	}()
	_, err := app.Parse(args)
	return printError(app.Name, err, std)
}

// printError prints err, unless it is a printedError, and returns its exit code. An
// error without an exit code comes from the command-line parser.
func printError(name string, err error, std Streams) Code {
	if err == nil {
		return CodeOK
	}
	var printed printedError
	if !errors.As(err, &printed) {
		fmt.Fprintf(std.Err, "%s: %v\n", name, err)
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return CodeUsage
}

// action adapts f to kingpin. An error of f without an exit code gets CodeFailed.
func action(f func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		err := f()
		var coded *Error
		if err == nil || errors.As(err, &coded) {
			return err
		}
		return withCode(CodeFailed, err)
	}
}
