package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/agentd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/publish"
)

// resetResult is what config reset --json prints.
type resetResult struct {
	// Offset is the offset of the reset.
	Offset int64 `json:"offset"`
}

func addConfigReset(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("reset", "Start the control stream again with an empty configuration, when the log has lost the configuration "+
		"and no process has it any more. Example: dogwoodgauge config reset --confirm --entry 10.0.0.1:8080 --agent 10.0.0.2:9201")
	o := logFlags(cmd, std)
	author := cmd.Flag("author", "Name of the operator.").Default(os.Getenv("USER")).String()
	entries := cmd.Flag("entry", "HTTP IP:port of an entry; repeat it for all.").Required().Strings()
	caFlag(cmd, &o.ca)
	agents := cmd.Flag("agent", "Upstream IP:port of an agent; repeat it for all.").Required().Strings()
	confirm := cmd.Flag("confirm", "Really reset. Failure domains that are taken out come back, and quotas and routes are gone, until they are published again.").Bool()
	cmd.Action(action(func() error {
		if !*confirm {
			return withCode(CodeUsage, errors.New("a reset empties the configuration; --confirm is needed"))
		}
		return o.reset(*author, *entries, *agents)
	}))
}

// reset starts the control stream again. It refuses if one of the processes has the state
// of the stream, since that process writes a snapshot to the log by itself.
func (o *operator) reset(author string, entries, agents []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	if err := checkNoneHasState(ctx, entries, o.ca, agents); err != nil {
		return errors.Wrap(err, "nothing was reset")
	}
	offset, err := o.client().Reset(ctx, author)
	switch {
	case errors.Is(err, publish.ErrUndecided):
		return withCode(CodeNoAnswer, err)
	case err != nil:
		return errors.Wrap(err, "nothing was reset")
	case o.asJSON:
		return writeJSON(o.std.Out, resetResult{Offset: offset})
	}
	fmt.Fprintf(o.std.Out, "reset at offset %d; publish the configuration now, and take out the failure domains that must stay out\n", offset)
	return nil
}

// checkNoneHasState returns an error when an entry or an agent has the state of the
// control stream, or may have it.
func checkNoneHasState(ctx context.Context, entries []string, ca string, agents []string) error {
	for _, addr := range entries {
		if err := checkEntryState(ctx, &client{addr: addr, ca: ca}); err != nil {
			return err
		}
	}
	for _, addr := range agents {
		if err := checkAgentState(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// checkEntryState returns an error when an entry, or an agent that it knows, has the
// state of the control stream. An entry that does not run has none.
func checkEntryState(ctx context.Context, c *client) error {
	var s entryd.Status
	if running, err := readStatus(ctx, c, &s); !running || err != nil {
		return err
	}
	if s.Synced && s.Offset > 0 {
		return stateFoundError(s.Self)
	}
	for _, a := range s.Agents {
		if a.Report != nil && a.Report.Synced {
			return stateFoundError(a.Ref)
		}
	}
	return nil
}

// checkAgentState returns an error when an agent has the state of the control stream.
// An agent that does not run has none.
func checkAgentState(ctx context.Context, addr string) error {
	var s agentd.Status
	if running, err := readStatus(ctx, &client{addr: addr}, &s); !running || err != nil {
		return err
	}
	if s.Synced && s.Offset > 0 {
		return stateFoundError(s.Self)
	}
	return nil
}

func stateFoundError(ref node.Ref) error {
	return errors.Errorf("%s has the configuration and writes a snapshot by itself", ref.ID)
}

// readStatus reads the status of a process. It reports false when the process refuses
// the connection, which proves that it does not run. Any other failure is an error,
// since the process may run and have the state.
func readStatus(ctx context.Context, c *client, status any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, statusPath, nil, nil)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, errors.Errorf("%s does not answer and may have the configuration: %v", c.addr, err)
	}
	if err := a.decode(status); err != nil {
		return false, errors.Errorf("%s: %v", c.addr, err)
	}
	return true, nil
}
