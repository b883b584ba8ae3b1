package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
)

func addStatus(app *kingpin.Application, std Streams) {
	cmd := app.Command("status", "Show what an entry knows: agents, offsets and load. "+
		"With --json the address may be that of an agent, which tells of its lease and upstreams.")
	entry := entryFlag(cmd)
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
		defer cancel()
		a, err := entry.call(ctx, http.MethodGet, "/v1/status", nil, nil)
		if err != nil {
			return err
		}
		if *asJSON && a.status == http.StatusOK {
			_, err := std.Out.Write(a.body)
			return err
		}
		var s entryd.Status
		if err := a.decode(&s); err != nil {
			return err
		}
		return printStatus(std.Out, &s)
	}))
}

func printStatus(w io.Writer, s *entryd.Status) error {
	fmt.Fprintf(w, "entry %s domain %s offset %d revision %d synced %t draining %t calls %d\n",
		s.Self, s.Domain, s.Offset, s.Revision, s.Synced, s.Draining, s.Calls)
	for name, count := range s.Violations {
		if count > 0 {
			fmt.Fprintf(w, "invariant %s violated %d times\n", name, count)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AGENT\tADDR\tDOMAIN\tWORKER\tSLOTS\tBUSY\tQUEUED\tHEARD\tSTATE\tUPSTREAMS")
	for _, a := range s.Agents {
		state := "up"
		switch {
		case a.Dead:
			state = "dead"
		case a.Load.Draining:
			state = "leaving"
		case a.Load.Failing:
			state = "failing"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\n", a.Ref.ID, a.Addr, a.Domain, a.Worker,
			a.Load.Slots, a.Load.Busy, a.Load.Queued, a.Age, state, len(a.Upstreams))
	}
	return t.Flush()
}
