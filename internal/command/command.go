// Package command is the command line of the two binaries.
//
// Exit codes are listed by type Code.
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
	// CodeNoAnswer: no answer was received; the effect is not known.
	CodeNoAnswer Code = 4
	// CodeCut: a stop cut off work in flight.
	CodeCut Code = 5
	// CodeConflict: another operator's change came first.
	CodeConflict Code = 6
)

// exitCodes is the help text on exit codes.
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

// quiet is an error that has been shown already.
type quiet struct{ error }

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// terminated ends the parsing of the command line after --help and the like.
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
	app := newApp("dogwoodgauge-agent", "The process beside an upstream. "+exitCodes, std)
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
	return report(app.Name, err, std)
}

// report prints an error and returns its exit code. An error without one comes
// from the parser of the command line.
func report(name string, err error, std Streams) Code {
	if err == nil {
		return CodeOK
	}
	var shown quiet
	if !errors.As(err, &shown) {
		fmt.Fprintf(std.Err, "%s: %v\n", name, err)
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return CodeUsage
}

// action adapts a function to kingpin. An error without an exit code gets
// CodeFailed.
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
