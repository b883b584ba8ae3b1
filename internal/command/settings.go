package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

func addCheckSettings(app *kingpin.Application, std Streams) {
	cmd := app.Command("check-settings", "Check a settings file and list every fault. Example: dogwoodgauge check-settings agent.ini")
	path := cmd.Arg("file", "Settings file of a process of any role.").Required().String()
	cmd.Action(action(func() error {
		role, err := settings.Check(*path)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		fmt.Fprintf(std.Out, "%s: settings of an %s are valid\n", *path, role)
		return nil
	}))
}
