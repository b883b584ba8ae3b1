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

// resetResult is what is printed of a reset.
type resetResult struct {
	// Offset is the offset of the reset.
	Offset int64 `json:"offset"`
}

func addConfigReset(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("reset", "Begin the control stream anew with an empty configuration, after the log has lost it "+
		"and no process has it. Example: dogwoodgauge config reset --confirm --entry 10.0.0.1:8080 --agent 10.0.0.2:9201")
	o := logFlags(cmd, std)
	author := cmd.Flag("author", "Name of the operator.").Default(os.Getenv("USER")).String()
	entries := cmd.Flag("entry", "HTTP IP:port of an entry; repeat it for all.").Required().Strings()
	caFlag(cmd, &o.ca)
	agents := cmd.Flag("agent", "Upstream IP:port of an agent; repeat it for all.").Required().Strings()
	confirm := cmd.Flag("confirm", "Do it. All that is taken out comes back, and quotas and routes are gone, until they are published.").Bool()
	cmd.Action(action(func() error {
		if !*confirm {
			return withCode(CodeUsage, errors.New("a reset empties the configuration; --confirm is needed"))
		}
		return o.reset(*author, *entries, *agents)
	}))
}

// reset begins the stream anew unless one of the processes has the state.
func (o *operator) reset(author string, entries, agents []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	if err := lackState(ctx, entries, o.ca, agents); err != nil {
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
	fmt.Fprintf(o.std.Out, "reset at offset %d; publish the configuration now, and take out what must stay out\n", offset)
	return nil
}

// lackState returns nil when no entry and no agent has the state of the stream.
func lackState(ctx context.Context, entries []string, ca string, agents []string) error {
	for _, addr := range entries {
		if err := entryLacksState(ctx, &client{addr: addr, ca: ca}); err != nil {
			return err
		}
	}
	for _, addr := range agents {
		if err := agentLacksState(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// entryLacksState returns nil when an entry does not run, or it and the agents
// that it knows lack the state of the stream.
func entryLacksState(ctx context.Context, c *client) error {
	var s entryd.Status
	if running, err := askState(ctx, c, &s); !running || err != nil {
		return err
	}
	if s.Synced && s.Offset > 0 {
		return hasState(s.Self)
	}
	for _, a := range s.Agents {
		if a.Report != nil && a.Report.Synced {
			return hasState(a.Ref)
		}
	}
	return nil
}

// agentLacksState returns nil when an agent does not run or lacks the state of
// the stream.
func agentLacksState(ctx context.Context, addr string) error {
	var s agentd.Status
	if running, err := askState(ctx, &client{addr: addr}, &s); !running || err != nil {
		return err
	}
	if s.Synced && s.Offset > 0 {
		return hasState(s.Self)
	}
	return nil
}

func hasState(ref node.Ref) error {
	return errors.Errorf("%s has the configuration and writes a snapshot by itself", ref.ID)
}

// askState reads the status of a process. It reports false when the process does
// not run. One that does not answer may have the state.
func askState(ctx context.Context, c *client, status any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
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
