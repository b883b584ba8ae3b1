package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// answerMargin is how long an answer is waited for beyond the time that the
// request itself asks for.
const answerMargin = 5 * time.Second

// client calls the HTTP interface of a process.
type client struct {
	addr string
	// ca is a file with the certificates that an entry's may be signed by, PEM.
	// Calls go over TLS when it is set.
	ca string
}

// entryFlag adds the flag that names the entry to call.
func entryFlag(cmd *kingpin.CmdClause) *client {
	c := &client{}
	cmd.Flag("entry", "HTTP IP:port of an entry.").Default("127.0.0.1:8080").
		Envar("DOGWOODGAUGE_ENTRY").StringVar(&c.addr)
	caFlag(cmd, &c.ca)
	return c
}

// caFlag adds the flag for entries that speak TLS.
func caFlag(cmd *kingpin.CmdClause, file *string) {
	cmd.Flag("ca", "File with the certificates, PEM, that entries' are signed by; calls go over TLS then.").
		Envar("DOGWOODGAUGE_CA").StringVar(file)
}

// connect returns what sends requests, and the start of their URLs.
func (c *client) connect() (*http.Client, string, error) {
	if c.ca == "" {
		return http.DefaultClient, "http://" + c.addr, nil
	}
	text, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, "", withCode(CodeUsage, errors.Wrap(err, "read certificates"))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, "", withCode(CodeUsage, errors.Errorf("%s holds no certificate", c.ca))
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true}
	return &http.Client{Transport: transport}, "https://" + c.addr, nil
}

// answer is the status and the body of an HTTP answer.
type answer struct {
	status int
	body   []byte
}

// call sends one request and reads the whole answer. The request is never
// repeated. Body may be nil.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	sender, base, err := c.connect()
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, withCode(CodeUsage, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := sender.Do(req)
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
