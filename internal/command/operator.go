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
	// logRequestTime bounds one request to the log service.
	logRequestTime = 2 * time.Second
	// statusTime bounds one request for the state of an entry.
	statusTime = 2 * time.Second
	// followPause is the time between two looks at how far a change has come.
	followPause = 50 * time.Millisecond
)

// operator holds the flags of the commands that read and change the
// configuration.
type operator struct {
	logAddr string
	stream  string
	entries []string
	// ca is as in client.
	ca string
	// keyFile holds the key of handovers. It may be empty.
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
	cmd.Flag("timeout", "How long to try.").Default("30s").DurationVar(&o.timeout)
	cmd.Flag("json", "Print JSON.").BoolVar(&o.asJSON)
	return o
}

// operatorFlags adds the flags of the commands that change the configuration.
func operatorFlags(cmd *kingpin.CmdClause, std Streams) *operator {
	o := logFlags(cmd, std)
	cmd.Flag("entry", "HTTP IP:port of an entry that tells what is in force; may be repeated.").
		Default("127.0.0.1:8080").Envar("DOGWOODGAUGE_ENTRY").StringsVar(&o.entries)
	caFlag(cmd, &o.ca)
	cmd.Flag("key-file", "File with the key that changes are handed over to entries with; without it they read the log only.").
		Envar("DOGWOODGAUGE_KEY_FILE").StringVar(&o.keyFile)
	cmd.Flag("author", "Name of the operator.").Default(os.Getenv("USER")).StringVar(&o.author)
	cmd.Flag("lease", "Freshness lease of the agents.").
		Default(settings.DefaultAgent().Timing.Lease.String()).DurationVar(&o.lease)
	return o
}

func (o *operator) client() *publish.Client {
	return &publish.Client{Log: logclient.New("http://"+o.logAddr, logRequestTime), Stream: o.stream}
}

// change is what is printed of a publication.
type change struct {
	Status  control.Status  `json:"status"`
	Outcome control.Outcome `json:"outcome"`
	// InForce says that no process starts work without the change any more.
	InForce bool `json:"in_force"`
	// Missing names the agents that have not confirmed that they have it.
	Missing []string `json:"missing"`
	// InForceSeconds is the time from the acceptance until it was in force.
	InForceSeconds float64 `json:"in_force_seconds,omitempty"`
}

// publish makes a change and waits until it is in force. It returns the state
// that was read, which is nil when there is none. Refused, which may be nil,
// returns the reason why edit made no edits, if there is one.
func (o *operator) publish(edit control.EditFunc, refused func() error) (*control.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	p, err := o.client().Publish(ctx, o.author, edit)
	c := change{Status: p.Status, Outcome: p.Outcome, Missing: []string{}}
	if err != nil {
		return p.State, undecided(p.Result, err)
	}
	if p.Status == control.Unchanged && refused != nil && refused() != nil {
		return p.State, refused()
	}
	if p.Status == control.Accepted {
		o.handOver(ctx, p)
		o.follow(ctx, p, &c)
	}
	if err := o.print(&c); err != nil {
		return p.State, err
	}
	return p.State, c.failure()
}

// undecided returns the error of a publication that was given up.
func undecided(r control.Result, cause error) error {
	if r.Status == control.Undecided {
		return withCode(CodeNoAnswer, errors.Wrap(cause, "it is not known whether the change was accepted"))
	}
	return errors.Wrap(cause, "the change was not made")
}

// failure returns the error that belongs to a change that has been printed.
func (c *change) failure() error {
	switch {
	case c.Status == control.Rejected && c.Outcome.Reason == control.ReasonInvalid:
		return withCode(CodeUsage, quiet{errors.New("the change is invalid")})
	case c.Status == control.Rejected:
		return withCode(CodeConflict, quiet{errors.New("the change was rejected")})
	case c.Status == control.Undecided:
		return withCode(CodeNoAnswer, quiet{errors.New("the change is undecided")})
	case c.Status == control.Accepted && !c.InForce:
		return withCode(CodeFailed, quiet{errors.New("the change is not known to be in force")})
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
		fmt.Fprintln(w, "it is not known whether the change was accepted: look with config history")
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

// handOver gives the accepted record to the entries, which pass it on. It needs
// the key.
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

// follow waits until a change is in force or ctx ends.
func (o *operator) follow(ctx context.Context, p publish.Publication, c *change) {
	start := time.Now()
	rollout := control.NewRollout(p.State, p.Outcome.Offset, o.lease)
	for {
		o.listen(ctx, rollout, start)
		c.InForce = rollout.InForce(time.Since(start))
		if c.InForce || ctx.Err() != nil {
			break
		}
		time.Sleep(followPause)
	}
	c.InForceSeconds = time.Since(start).Seconds()
	for _, m := range rollout.PendingAgents() {
		c.Missing = append(c.Missing, string(m.Ref.ID))
	}
}

// listen tells the rollout what the entries know.
func (o *operator) listen(ctx context.Context, rollout *control.Rollout, start time.Time) {
	for _, addr := range o.entries {
		s, err := entryStatus(ctx, &client{addr: addr, ca: o.ca})
		if err != nil {
			continue
		}
		now := time.Since(start)
		rollout.ObserveOffset(now, s.Self, s.Offset)
		for _, r := range s.Reached {
			rollout.ObserveOffset(now, r.Ref, r.Next)
		}
	}
}

func entryStatus(ctx context.Context, c *client) (entryd.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return entryd.Status{}, err
	}
	var s entryd.Status
	return s, a.decode(&s)
}
