package command

import (
	"fmt"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/configfile"
)

func addDomain(app *kingpin.Application, std Streams) {
	cmd := app.Command("domain", "Take failure domains out and bring them back.")
	addDomainChange(cmd, std, "out", "Take failure domains out; returns when that is in force. "+
		"Example: dogwoodgauge domain out recife-a", control.TakeOut)
	addDomainChange(cmd, std, "in", "Bring failure domains back. "+
		"Example: dogwoodgauge domain in --labels region=recife", control.BringIn)
}

func addDomainChange(parent *kingpin.CmdClause, std Streams, name, help string, edit func(config.TakeOut) control.EditFunc) {
	cmd := parent.Command(name, help)
	domain := cmd.Arg("name", "Failure domain.").String()
	selector := cmd.Flag("labels", "Selector of the failure domains, in place of a name.").String()
	o := operatorFlags(cmd, std)
	cmd.Action(action(func() error {
		takeOut, err := parseTakeOut(*domain, *selector)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		state, err := o.publish(edit(takeOut), nil)
		if state != nil && takeOut.Domain != "" && !hasAgent(state, takeOut.Domain) {
			fmt.Fprintf(std.Err, "warning: no agent is in failure domain %s\n", takeOut.Domain)
		}
		return err
	}))
}

// parseTakeOut returns the object that takes out the failure domains that a name or a
// selector gives.
func parseTakeOut(name, selector string) (config.TakeOut, error) {
	if (name == "") == (selector == "") {
		return config.TakeOut{}, errors.New("give either the name of a failure domain or --labels")
	}
	if name != "" {
		return config.TakeOut{Domain: name}, nil
	}
	sel, err := configfile.ParseSelector(selector)
	return config.TakeOut{Selector: sel}, err
}

// hasAgent reports whether an agent is in a failure domain.
func hasAgent(state *control.State, domain string) bool {
	return slices.ContainsFunc(state.Agents(), func(m control.Member) bool { return m.Domain == domain })
}
