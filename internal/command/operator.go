package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/handover"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/publish"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

const (
	// logRequestTimeout bounds one request to the log service.
	logRequestTimeout = 2 * time.Second
	// statusTimeout bounds one request for the status of an entry or an agent.
	statusTimeout = 2 * time.Second
	// rolloutPollInterval is the time between two polls of the entries for how far a
	// change has been applied.
	rolloutPollInterval = 50 * time.Millisecond
)

// operator holds the flags of the commands that read and change the
// configuration.
type operator struct {
	logAddr string
	stream  string
	entries []string
	// ca is a PEM file with CA certificates, as in client. It may be empty.
	ca string
	// keyFile is the file with the key that signs handovers. It may be empty.
	keyFile string
	author  string
	timeout time.Duration
	lease   time.Duration
	asJSON  bool
	std     Streams
}

// logFlags adds the flags of every command that reads the log.
func logFlags(cmd *kingpin.CmdClause, std Streams) *operator {
	o := &operator{std: std}
	cmd.Flag("log", "IP:port of the platform's log service.").Default("127.0.0.1:7000").
		Envar("DOGWOODGAUGE_LOG").StringVar(&o.logAddr)
	cmd.Flag("stream", "Name of the control stream.").Default(settings.DefaultEntry().Log.Stream).StringVar(&o.stream)
	cmd.Flag("timeout", "How long to try before giving up.").Default("30s").DurationVar(&o.timeout)
	cmd.Flag("json", "Print JSON.").BoolVar(&o.asJSON)
	return o
}

// operatorFlags adds the flags of the commands that change the configuration.
func operatorFlags(cmd *kingpin.CmdClause, std Streams) *operator {
	o := logFlags(cmd, std)
	cmd.Flag("entry", "HTTP IP:port of an entry to ask whether the change is in force; may be repeated.").
		Default("127.0.0.1:8080").Envar("DOGWOODGAUGE_ENTRY").StringsVar(&o.entries)
	caFlag(cmd, &o.ca)
	cmd.Flag("key-file", "File with the key that signs the handover of changes to entries; without it they get changes from the log only.").
		Envar("DOGWOODGAUGE_KEY_FILE").StringVar(&o.keyFile)
	cmd.Flag("author", "Name of the operator.").Default(os.Getenv("USER")).StringVar(&o.author)
	cmd.Flag("lease", "Freshness lease of the agents.").
		Default(settings.DefaultAgent().Timing.Lease.String()).DurationVar(&o.lease)
	return o
}

func (o *operator) client() *publish.Client {
	return &publish.Client{Log: logclient.New("http://"+o.logAddr, logRequestTimeout), Stream: o.stream}
}

// change is what a command prints about a publication.
type change struct {
	Status  control.Status  `json:"status"`
	Outcome control.Outcome `json:"outcome"`
	// InForce reports whether every process that can still start work has applied the
	// change.
	InForce bool `json:"in_force"`
	// Missing names the agents that have not confirmed that they applied the change.
	Missing []string `json:"missing"`
	// InForceSeconds is the time from the handover of the accepted change until it was
	// in force, or until the command gave up.
	InForceSeconds float64 `json:"in_force_seconds,omitempty"`
}

// publish publishes the edits that edit returns, waits until they are in force, and
// prints the result. It returns the state that it read from the log, or nil if it read
// none. If edit returns no edits, publish calls refused, which may be nil, and returns its
// error, if any.
func (o *operator) publish(edit control.EditFunc, refused func() error) (*control.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	p, err := o.client().Publish(ctx, o.author, edit)
	c := change{Status: p.Status, Outcome: p.Outcome, Missing: []string{}}
	if err != nil {
		return p.State, publishError(p.Result, err)
	}
	if p.Status == control.Unchanged && refused != nil && refused() != nil {
		return p.State, refused()
	}
	if p.Status == control.Accepted {
		o.handOver(ctx, p)
		o.waitInForce(ctx, p, &c)
	}
	if err := o.print(&c); err != nil {
		return p.State, err
	}
	return p.State, c.failure()
}

// publishError returns the error of a publication that failed because of cause. Its
// exit code is CodeNoAnswer if the log may have accepted the change nevertheless.
func publishError(r control.Result, cause error) error {
	if r.Status == control.Undecided {
		return withCode(CodeNoAnswer, errors.Wrap(cause, "it is not known whether the change was accepted"))
	}
	return errors.Wrap(cause, "the change was not made")
}

// failure returns the error that gives the command its exit code, or nil. The command has
// already printed the change.
func (c *change) failure() error {
	switch {
	case c.Status == control.Rejected && c.Outcome.Reason == control.ReasonInvalid:
		return withCode(CodeUsage, printedError{errors.New("the change is invalid")})
	case c.Status == control.Rejected:
		return withCode(CodeConflict, printedError{errors.New("the change was rejected")})
	case c.Status == control.Undecided:
		return withCode(CodeNoAnswer, printedError{errors.New("the change is undecided")})
	case c.Status == control.Accepted && !c.InForce:
		return withCode(CodeFailed, printedError{errors.New("the change is not known to be in force")})
	default:
		return nil
	}
}

func (o *operator) print(c *change) error {
	if o.asJSON {
		return writeJSON(o.std.Out, c)
	}
	w := o.std.Out
	switch c.Status {
	case control.Unchanged:
		fmt.Fprintln(w, "nothing to change")
	case control.Undecided:
		fmt.Fprintln(w, "it is not known whether the change was accepted: see config history")
	case control.Rejected:
		fmt.Fprintf(w, "rejected: %s %s\n", c.Outcome.Reason, c.Outcome.Detail)
		if c.Outcome.Reason == control.ReasonConflict {
			fmt.Fprintf(w, "revision %d of %q came first\n", c.Outcome.WinnerOffset, c.Outcome.WinnerAuthor)
		}
	case control.Accepted:
		fmt.Fprintf(w, "accepted as revision %d\n", c.Outcome.Offset)
		if c.InForce {
			fmt.Fprintf(w, "in force after %.3f s\n", c.InForceSeconds)
		} else {
			fmt.Fprintln(w, "not known to be in force yet")
		}
		if len(c.Missing) > 0 {
			fmt.Fprintln(w, "not confirmed by:", strings.Join(c.Missing, ", "))
		}
	}
	return nil
}

// handOver sends the accepted record, signed with the key, to the entries, which
// forward it to the other processes. Without a key file it does nothing.
func (o *operator) handOver(ctx context.Context, p publish.Publication) {
	if o.keyFile == "" {
		return
	}
	body, err := json.Marshal(entryd.Published{From: p.From, Records: p.Records})
	if err != nil {
		return
	}
	key, err := handover.ReadKey(o.keyFile)
	if err != nil {
		fmt.Fprintln(o.std.Err, "the change is not handed over to the entries:", err)
		return
	}
	header := http.Header{handover.SignatureHeader: {key.Sign(o.stream, body)}}
	for _, addr := range o.entries {
		s, err := entryStatus(ctx, &client{addr: addr, ca: o.ca})
		if err != nil {
			continue
		}
		operator := &client{addr: s.OperatorAddr}
		a, err := operator.call(ctx, http.MethodPost, entryd.PublishedPath, header, body)
		if err == nil && a.status != http.StatusNoContent {
			err = a.refusal()
		}
		if err != nil {
			fmt.Fprintf(o.std.Err, "entry %s did not take the change over: %v\n", addr, err)
		}
	}
}

// waitInForce waits until a change is in force or ctx ends. It sets InForce,
// InForceSeconds and Missing of c.
func (o *operator) waitInForce(ctx context.Context, p publish.Publication, c *change) {
	start := time.Now()
	rollout := control.NewRollout(p.State, p.Outcome.Offset, o.lease)
	for {
		o.pollEntries(ctx, rollout, start)
		c.InForce = rollout.InForce(time.Since(start))
		if c.InForce || ctx.Err() != nil {
			break
		}
		time.Sleep(rolloutPollInterval)
	}
	c.InForceSeconds = time.Since(start).Seconds()
	for _, m := range rollout.PendingAgents() {
		c.Missing = append(c.Missing, string(m.Ref.ID))
	}
}

// pollEntries adds to the rollout the offsets that the entries report of themselves
// and of other processes. It skips entries that do not answer.
func (o *operator) pollEntries(ctx context.Context, rollout *control.Rollout, start time.Time) {
	for _, addr := range o.entries {
		s, err := entryStatus(ctx, &client{addr: addr, ca: o.ca})
		if err != nil {
			continue
		}
		now := time.Since(start)
		rollout.ObserveOffset(now, s.Self, s.Offset)
		for _, r := range s.ReadOffsets {
			rollout.ObserveOffset(now, r.Ref, r.Next)
		}
	}
}

func entryStatus(ctx context.Context, c *client) (entryd.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return entryd.Status{}, err
	}
	var s entryd.Status
	return s, a.decode(&s)
}
