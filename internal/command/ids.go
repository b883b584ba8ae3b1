package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
)

func addIDs(app *kingpin.Application, std Streams) {
	cmd := app.Command("ids", "Get job IDs. Example: dogwoodgauge ids --count 3")
	entry := entryFlag(cmd)
	count := cmd.Flag("count", "Number of IDs.").Default("1").Int()
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		ids, err := entry.mintIDs(*count)
		if err != nil {
			return err
		}
		if *asJSON {
			return writeJSON(std.Out, ids)
		}
		for _, id := range ids.IDs {
			fmt.Fprintln(std.Out, id)
		}
		return nil
	}))
}

// mintIDs asks an entry for new job IDs.
func (c *client) mintIDs(count int) (httpapi.IDsAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
	defer cancel()
	body, err := json.Marshal(httpapi.IDsRequest{Count: count})
	if err != nil {
		return httpapi.IDsAnswer{}, err
	}
	a, err := c.call(ctx, http.MethodPost, "/v1/ids", nil, body)
	if err != nil {
		return httpapi.IDsAnswer{}, err
	}
	var ids httpapi.IDsAnswer
	return ids, a.decode(&ids)
}
