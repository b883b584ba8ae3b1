package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

func addJob(app *kingpin.Application, std Streams) {
	cmd := app.Command("job", "Submit, look up and cancel jobs.")
	addJobSubmit(cmd, std)
	addJobGet(cmd, std)
	addJobCancel(cmd, std)
}

// jobFlags are the flags of job submit.
type jobFlags struct {
	request  httpapi.JobRequest
	timeout  time.Duration
	labels   map[string]string
	payloads []string
	file     string
	noWait   bool
	trace    string
}

func addJobSubmit(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("submit", `Submit a job and wait for its answer. `+
		`Example: dogwoodgauge job submit --team records --class urgent --label kind=currency --payload attendant-7`)
	entry := entryFlag(cmd)
	f := &jobFlags{labels: make(map[string]string)}
	cmd.Flag("id", "Job ID; one is made when it is left out.").StringVar((*string)(&f.request.ID))
	cmd.Flag("attempt", "Attempt number.").IntVar(&f.request.Attempt)
	cmd.Flag("created", "Time of the first submission in milliseconds since 1970.").Int64Var(&f.request.Created)
	cmd.Flag("team", "Team.").StringVar(&f.request.Team)
	cmd.Flag("class", "Priority class: urgent, normal or batch.").StringVar((*string)(&f.request.Class))
	cmd.Flag("idempotent", "The tasks may be run again by the caller.").BoolVar(&f.request.Idempotent)
	cmd.Flag("timeout", "Time until the deadline.").Default("10s").DurationVar(&f.timeout)
	cmd.Flag("label", "Label key=value of every task; may be repeated.").StringMapVar(&f.labels)
	cmd.Flag("payload", "Payload of a task; one task for each.").StringsVar(&f.payloads)
	cmd.Flag("file", "JSON body to send in place of the flags; - reads standard input.").StringVar(&f.file)
	cmd.Flag("no-wait", "Return as soon as the job is admitted.").BoolVar(&f.noWait)
	cmd.Flag("traceparent", "W3C trace context to pass on.").StringVar(&f.trace)
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		body, err := f.body(std)
		if err != nil {
			return withCode(CodeUsage, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), f.timeout+answerMargin)
		defer cancel()
		a, err := entry.call(ctx, http.MethodPost, f.path(), f.header(), body)
		if err != nil {
			return err
		}
		return showJob(a, *asJSON, std)
	}))
}

func (f *jobFlags) path() string {
	if f.noWait {
		return "/v1/jobs?wait=false"
	}
	return "/v1/jobs"
}

func (f *jobFlags) header() http.Header {
	h := http.Header{}
	if f.trace != "" {
		h.Set(telemetry.TraceparentHeader, f.trace)
	}
	return h
}

func (f *jobFlags) body(std Streams) ([]byte, error) {
	switch f.file {
	case "":
	case "-":
		return io.ReadAll(std.In)
	default:
		return os.ReadFile(f.file)
	}
	r := f.request
	r.TimeoutMillis = f.timeout.Milliseconds()
	for _, payload := range f.payloads {
		r.Tasks = append(r.Tasks, httpapi.TaskRequest{Labels: f.labels, Payload: []byte(payload)})
	}
	return json.Marshal(r)
}

func addJobGet(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("get", "Look up the answer of a job. Example: dogwoodgauge job get ID --wait 2s")
	entry := entryFlag(cmd)
	id := cmd.Arg("id", "Job ID.").Required().String()
	attempt := cmd.Flag("attempt", "Attempt number.").Int()
	wait := cmd.Flag("wait", "How long to wait for the answer.").Duration()
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), *wait+answerMargin)
		defer cancel()
		path := jobPath(*id, *attempt) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		a, err := entry.call(ctx, http.MethodGet, path, nil, nil)
		if err != nil {
			return err
		}
		return showJob(a, *asJSON, std)
	}))
}

func addJobCancel(parent *kingpin.CmdClause, std Streams) {
	cmd := parent.Command("cancel", "Cancel a job. Example: dogwoodgauge job cancel ID")
	entry := entryFlag(cmd)
	id := cmd.Arg("id", "Job ID.").Required().String()
	attempt := cmd.Flag("attempt", "Attempt number.").Int()
	asJSON := jsonFlag(cmd)
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
		defer cancel()
		a, err := entry.call(ctx, http.MethodDelete, jobPath(*id, *attempt), nil, nil)
		if err != nil {
			return err
		}
		err = showJob(a, *asJSON, std)
		if a.status == http.StatusOK {
			return nil
		}
		return err
	}))
}

func jobPath(id string, attempt int) string {
	return "/v1/jobs/" + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
}

// showJob prints the answer of a job. For a failed job it returns a printedError, so that
// the failure is not printed twice.
func showJob(a answer, asJSON bool, std Streams) error {
	var j httpapi.JobAnswer
	if err := json.Unmarshal(a.body, &j); err != nil {
		return withCode(CodeNoAnswer, errors.Wrap(err, "the answer can't be decoded"))
	}
	if j.Status == "" {
		return withCode(CodeJobFailed, a.refusal())
	}
	if asJSON {
		_, _ = std.Out.Write(a.body)
	} else {
		printJob(std.Out, &j)
	}
	if j.Status == httpapi.Failed {
		return withCode(CodeJobFailed, printedError{errors.New("the job failed")})
	}
	return nil
}

func printJob(w io.Writer, j *httpapi.JobAnswer) {
	fmt.Fprintf(w, "job %s attempt %d: %s\n", j.ID, j.Attempt, j.Status)
	for i, result := range j.Results {
		fmt.Fprintf(w, "task %d: %q\n", i, result)
	}
	if j.Error == nil {
		return
	}
	fmt.Fprintf(w, "%s: %s\n", j.Error.Kind, j.Error.Detail)
	if j.Error.RetryAfterMillis > 0 {
		fmt.Fprintf(w, "submit again after %d ms\n", j.Error.RetryAfterMillis)
	}
	for state, count := range countStates(j.Error.States) {
		if count > 0 {
			fmt.Fprintf(w, "tasks %s: %d\n", taskStates[state], count)
		}
	}
}

// taskStates lists the states in the order in which they are printed.
var taskStates = []job.TaskState{job.Done, job.Failed, job.Running, job.Unknown, job.NotRun}

// countStates returns the number of tasks in each of taskStates.
func countStates(states []job.TaskState) []int {
	counts := make([]int, len(taskStates))
	for _, s := range states {
		for i, known := range taskStates {
			if s == known {
				counts[i]++
			}
		}
	}
	return counts
}
