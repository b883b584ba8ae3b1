package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// answerMargin is how long an answer is waited for beyond the time that the
// request itself asks for.
const answerMargin = 5 * time.Second

// client calls the HTTP interface of an entry.
type client struct{ addr string }

// entryFlag adds the flag that names the entry to call.
func entryFlag(cmd *kingpin.CmdClause) *client {
	c := &client{}
	cmd.Flag("entry", "HTTP IP:port of an entry.").Default("127.0.0.1:8080").
		Envar("DOGWOODGAUGE_ENTRY").StringVar(&c.addr)
	return c
}

// answer is the status and the body of an HTTP answer.
type answer struct {
	status int
	body   []byte
}

// call sends one request and reads the whole answer. The request is never
// repeated. Body may be nil.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, withCode(CodeUsage, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, withCode(CodeNoAnswer, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, withCode(CodeNoAnswer, errors.Wrap(err, "the answer was cut"))
	}
	return answer{status: resp.StatusCode, body: text}, nil
}

// decode parses the answer into v, or returns the refusal that it carries.
func (a answer) decode(v any) error {
	if a.status != http.StatusOK && a.status != http.StatusAccepted {
		return a.refusal()
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return withCode(CodeNoAnswer, errors.Wrap(err, "the answer is not valid"))
	}
	return nil
}

// refusal returns the error that an answer carries.
func (a answer) refusal() error {
	var refused httpserver.ErrorBody
	if err := json.Unmarshal(a.body, &refused); err != nil || refused.Error.Kind == "" {
		return errors.Errorf("the entry answered %d", a.status)
	}
	return errors.Errorf("%s: %s", refused.Error.Kind, refused.Error.Detail)
}
