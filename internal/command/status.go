package command

import (
	"context"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
)

// statusPath makes an entry ask the agents for new reports before it answers.
const statusPath = "/v1/status?ask=true"

func addStatus(app *kingpin.Application, std Streams) {
	cmd := app.Command("status", "Show the members as an entry sees them, with offsets, freshness, queues and "+
		"quarantines. Of a large fleet only the agents that need attention are listed. "+
		"With --json the address may be that of an agent, which then reports its own state.")
	entry := entryFlag(cmd)
	all := cmd.Flag("all", "List every agent.").Bool()
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
		defer cancel()
		a, err := entry.call(ctx, http.MethodGet, statusPath, nil, nil)
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
		return printStatus(std.Out, &s, *all)
	}))
}
