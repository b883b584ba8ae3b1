package command

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

func addVersion(app *kingpin.Application, std Streams) {
	cmd := app.Command("version", "Print the version of the program and of the protocol between processes.")
	cmd.Action(action(func() error {
		fmt.Fprintln(std.Out, versionText())
		return nil
	}))
}

// versionText returns the version that the build recorded.
func versionText() string {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	return fmt.Sprintf("dogwoodgauge %s, protocol %d", version, message.Version)
}

func addCompletion(app *kingpin.Application) {
	cmd := app.Command("completion", "Print a completion script. Example: eval \"$(dogwoodgauge completion bash)\"")
	shell := cmd.Arg("shell", "bash or zsh.").Required().Enum("bash", "zsh")
	cmd.Action(func(ctx *kingpin.ParseContext) error {
		template := kingpin.BashCompletionTemplate
		if *shell == "zsh" {
			template = kingpin.ZshCompletionTemplate
		}
		return withCode(CodeFailed, app.UsageForContextWithTemplate(ctx, 2, template))
	})
}
