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
		out, err := domains(*domain, *selector)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		state, err := o.publish(edit(out), nil)
		if state != nil && out.Domain != "" && !populated(state, out.Domain) {
			fmt.Fprintf(std.Err, "warning: no agent is in failure domain %s\n", out.Domain)
		}
		return err
	}))
}

// domains names failure domains by name or by selector.
func domains(name, selector string) (config.TakeOut, error) {
	if (name == "") == (selector == "") {
		return config.TakeOut{}, errors.New("a name or --labels is expected, not both")
	}
	if name != "" {
		return config.TakeOut{Domain: name}, nil
	}
	sel, err := configfile.ParseSelector(selector)
	return config.TakeOut{Selector: sel}, err
}

// populated reports whether an agent is in a failure domain.
func populated(state *control.State, domain string) bool {
	return slices.ContainsFunc(state.Agents(), func(m control.Member) bool { return m.Domain == domain })
}
