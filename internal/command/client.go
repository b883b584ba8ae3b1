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

// answerMargin is how long a command waits for an answer beyond the waiting time
// that its request asks for.
const answerMargin = 5 * time.Second

// client calls the HTTP interface of an entry or an agent.
type client struct {
	addr string
	// ca is a PEM file with the CA certificates that may sign an entry's certificate.
	// Calls use TLS when it is set.
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

// caFlag adds the flag for entries that serve TLS.
func caFlag(cmd *kingpin.CmdClause, file *string) {
	cmd.Flag("ca", "PEM file with the CA certificates that sign the entries' certificates; with it, calls use TLS.").
		Envar("DOGWOODGAUGE_CA").StringVar(file)
}

// connect returns the HTTP client and the base URL for requests.
func (c *client) connect() (*http.Client, string, error) {
	if c.ca == "" {
		return http.DefaultClient, "http://" + c.addr, nil
	}
	text, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, "", withCode(CodeUsage, errors.Wrap(err, "read CA certificates"))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, "", withCode(CodeUsage, errors.Errorf("file %s contains no PEM certificate", c.ca))
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true}
	return &http.Client{Transport: transport}, "https://" + c.addr, nil
}

// answer is the status and the body of an HTTP response.
type answer struct {
	status int
	body   []byte
}

// call sends one request and reads the whole response. It never repeats the
// request, whose effect is unknown after an error. body may be nil.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	httpClient, baseURL, err := c.connect()
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, withCode(CodeUsage, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return answer{}, withCode(CodeNoAnswer, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, withCode(CodeNoAnswer, errors.Wrap(err, "the answer was cut off"))
	}
	return answer{status: resp.StatusCode, body: text}, nil
}

// decode parses the answer into v, or returns the error that the answer describes.
func (a answer) decode(v any) error {
	if a.status != http.StatusOK && a.status != http.StatusAccepted {
		return a.refusal()
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return withCode(CodeNoAnswer, errors.Wrap(err, "the answer can't be decoded"))
	}
	return nil
}

// refusal returns the error that the answer describes.
func (a answer) refusal() error {
	var refused httpserver.ErrorBody
	if err := json.Unmarshal(a.body, &refused); err != nil || refused.Error.Kind == "" {
		return errors.Errorf("the process answered with HTTP status %d", a.status)
	}
	return errors.Errorf("%s: %s", refused.Error.Kind, refused.Error.Detail)
}
