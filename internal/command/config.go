package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/configfile"
	"github.com/dogwoodgauge/dogwoodgauge/internal/publish"
)

// revisionPrefix starts the first line of a file that config get printed. It is
// followed by the revision that the file was made from.
const revisionPrefix = "# revision "

// unknownRevision stands for the revision of a file whose first line names none. It
// differs from config.NoRevision.
const unknownRevision int64 = -2

func addConfig(app *kingpin.Application, std Streams) {
	cmd := app.Command("config", "Check, publish and read the configuration.")
	addConfigCheck(cmd, std)
	addConfigPublish(cmd, std)
	addConfigGet(cmd, std)
	addConfigHistory(cmd, std)
	addConfigDiff(cmd, std)
	addConfigReset(cmd, std)
}

func addConfigCheck(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("check", "Check a configuration file and list every fault. Example: dogwoodgauge config check site.ini")
	path := cmd.Arg("file", "Configuration file.").Required().String()
	cmd.Action(action(func() error {
		f, err := readConfigFile(*path)
		if err != nil {
			return err
		}
		fmt.Fprintf(std.Out, "%s: %d objects, valid\n", *path, f.config.Len())
		return nil
	}))
}

func addConfigPublish(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("publish", "Publish a configuration file; returns when it is in force. "+
		"Example: dogwoodgauge config get > site.ini, edit, dogwoodgauge config publish site.ini")
	path := cmd.Arg("file", "Configuration file.").Required().String()
	fromIsSet := false
	from := cmd.Flag("from", "Revision that the file was made from; by default the one that the file names.").
		IsSetByUser(&fromIsSet).Int64()
	o := operatorFlags(cmd, std)
	cmd.Action(action(func() error {
		f, err := readConfigFile(*path)
		if err != nil {
			return err
		}
		if fromIsSet {
			f.revision = *from
		}
		return o.publishFile(f)
	}))
}

// publishFile publishes what differs between a file and the revision that it was made
// from. It keeps the changes that other operators have made to other objects since that
// revision.
func (o *operator) publishFile(f configFile) error {
	base, err := o.configAt(f.revision)
	if err != nil {
		return err
	}
	m := &publish.Merge{Base: base, Edits: configfile.Diff(base, f.config)}
	_, err = o.publish(m.Edit, func() error {
		if len(m.Conflicts) == 0 {
			return nil
		}
		return withCode(CodeConflict, errors.Errorf(
			"not published: %s changed after revision %d; see config history and config diff",
			m.Conflicts[0], f.revision))
	})
	return err
}

// configAt returns the configuration at a revision. While the configuration in force is
// empty, configAt returns that one whatever the revision is, so that the first file need not
// name a revision.
func (o *operator) configAt(revision int64) (*config.Config, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	var base *config.Config
	state, err := o.client().Read(ctx, func(c *config.Config) {
		if c.Revision() == revision {
			base = c
		}
	})
	switch {
	case err != nil:
		return nil, err
	case base != nil:
		return base, nil
	case state.Config().Len() == 0:
		return state.Config(), nil
	case revision == unknownRevision:
		return nil, withCode(CodeUsage, errors.Errorf(
			"the file does not name the revision that it was made from: start from config get, or pass --from %d",
			state.Config().Revision()))
	default:
		return nil, withCode(CodeConflict, errors.Errorf("the log does not hold revision %d any more", revision))
	}
}

func addConfigGet(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("get", "Print the configuration in force as a file.")
	o := logFlags(cmd, std)
	cmd.Action(action(func() error {
		state, err := o.readState()
		if err != nil {
			return err
		}
		if o.asJSON {
			return writeJSON(std.Out, newConfigJSON(state.Config()))
		}
		fmt.Fprintf(std.Out, "%s%d\n%s", revisionPrefix, state.Config().Revision(), configfile.Format(state.Config()))
		return nil
	}))
}

// configJSON is the configuration as config get --json prints it.
type configJSON struct {
	Revision int64           `json:"revision"`
	Objects  []config.Object `json:"objects"`
}

func newConfigJSON(c *config.Config) configJSON {
	j := configJSON{Revision: c.Revision(), Objects: []config.Object{}}
	for _, key := range c.Keys() {
		object, _ := c.Object(key)
		j.Objects = append(j.Objects, object)
	}
	return j
}

func addConfigHistory(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("history", "List the last changes and whether each was accepted.")
	o := logFlags(cmd, std)
	cmd.Action(action(func() error {
		state, err := o.readState()
		if err != nil {
			return err
		}
		if o.asJSON {
			return writeJSON(std.Out, state.Outcomes())
		}
		return printHistory(std.Out, state.Outcomes())
	}))
}

func printHistory(w io.Writer, outcomes []control.Outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REVISION\tAUTHOR\tRESULT\tDETAIL")
	for _, o := range outcomes {
		result, detail := "accepted", ""
		if !o.Accepted {
			result, detail = "rejected", o.Reason+" "+o.Detail
		}
		if o.Reason == control.ReasonConflict {
			detail += fmt.Sprintf(" (revision %d of %s came first)", o.WinnerOffset, o.WinnerAuthor)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", o.Offset, o.Author, result, detail)
	}
	return t.Flush()
}

func addConfigDiff(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("diff", "Show what a file would change in the configuration in force.")
	path := cmd.Arg("file", "Configuration file.").Required().String()
	o := logFlags(cmd, std)
	cmd.Action(action(func() error {
		f, err := readConfigFile(*path)
		if err != nil {
			return err
		}
		state, err := o.readState()
		if err != nil {
			return err
		}
		edits := configfile.Diff(state.Config(), f.config)
		if o.asJSON {
			return writeJSON(std.Out, edits)
		}
		fmt.Fprint(std.Out, configfile.FormatDiff(state.Config(), edits))
		return nil
	}))
}

// readState reads the state of the control stream from the log.
func (o *operator) readState() (*control.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	return o.client().Read(ctx, nil)
}

// configFile is a parsed configuration file.
type configFile struct {
	config *config.Config
	// revision is the revision that the file was made from, or unknownRevision.
	revision int64
}

func readConfigFile(path string) (configFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configFile{}, withCode(CodeUsage, err)
	}
	c, err := configfile.Parse(path, data)
	if err != nil {
		return configFile{}, withCode(CodeUsage, err)
	}
	return configFile{config: c, revision: fileRevision(data)}, nil
}

// fileRevision returns the revision that the first line of a file names, or
// unknownRevision.
func fileRevision(data []byte) int64 {
	first, _, _ := bytes.Cut(data, []byte("\n"))
	text, found := strings.CutPrefix(string(first), revisionPrefix)
	if !found {
		return unknownRevision
	}
	revision, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return unknownRevision
	}
	return revision
}
