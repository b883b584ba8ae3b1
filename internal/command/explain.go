package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// maxLogLine is the longest log line that can be read, in bytes. A longer line is an
// error.
const maxLogLine = 1 << 20

// logLine is one line of a process's log about a job.
type logLine struct {
	Time  string `json:"time"`
	Event string `json:"msg"`
	Part  string `json:"part"`
	Job   string `json:"job"`
	// Request is the ID that the caller gave its request to submit the job.
	Request string `json:"request"`
	// raw is the JSON object of the line, and fields is raw decoded.
	raw    []byte
	fields map[string]any
}

// jobField is the key of a log line's job ID. scanLog skips lines without it before it
// decodes them.
var jobField = []byte(`"job":`)

// causes explains, for operators, the reasons in the lines that report the completion
// or refusal of a job.
var causes = map[string]string{
	"no_upstream":                "no agent with an upstream of the service was in reach; see agent_room and agent_silent lines of the dispatcher",
	"larger_than_every_upstream": "a task asks for more than any upstream of the service has",
	"overloaded":                 "the dispatcher fell behind its work; see delay_ms, and the processor time of its host",
	"too_many_jobs":              "the dispatcher held as many jobs as it may",
	"too_many_tasks":             "the large jobs that the dispatcher held had as many tasks as they may; see open_tasks",
	"draining":                   "the dispatcher was leaving",
	"answer_of_no_use":           "the answer would have come too late to be of use; see how long its tasks waited",
	"would_start_late":           "as much work was waiting as could start in time, so the job was refused on arrival",
	"predicted_too_late":         "the job could not be answered in time at the rate at which waiting tasks were placed",
	"deadline_passed":            "the job was not done when its caller stopped waiting; see how long its tasks waited and ran",
	"attempts_used_up":           "a task was reported as failed by as many upstreams as the route permits",
	"upstreams_crashed":          "upstreams crashed or fell silent under a task of the job, so it was given up with its result unknown; see upstream_crashed and task_condemned lines",
	"route_confined":             "tasks of the route keep crashing upstreams, so it was confined to a few, which were down or contended; see route_confined and upstream_crashed lines",
	"caller_gone":                "the caller closed its connection",
	"cancelled":                  "the caller cancelled the job; if it is submitted again within 10 s, nothing of it is started",
	"process_was_paused":         "the dispatcher did not run for so long that its leases were about to lapse",
	"no_configuration":           "the dispatcher had no configuration yet; see its site_state_taken and store_lost lines",
	"no_route":                   "no route of the revision in force has the host and a prefix of the path; see site_state_taken",
	"malformed_id":               "the path does not end in the ID of a job",
	"unreadable_body":            "the body did not arrive whole, or not in time",
	"body_too_large":             "the body is larger than the operators or the settings allow",
	"no_body_memory":             "the memory for large bodies was in use, or this body took too long while others needed it; see body_memory",
	"malformed_body":             "the body can't be decoded",
	"malformed_steps":            "the numbers of tasks or the order of the steps are out of bounds",
	"unsupported_kind_of_job":    "the job uses options that are not supported: stored, scheduled, repeated or long-running jobs, gangs, speculative copies",
	"stopped":                    "the dispatcher had stopped",
	"submitted_again_elsewhere":  "the caller submitted the job again, and another dispatcher runs it now",
	"may_start_late":             "the host of a task was lost, and its upstream may still execute a start call that got no answer, of this submission or an earlier one; see job_may_start_late, hold_learned and job_held lines",
	"id_in_use":                  "another job with this ID was open; nothing of this one has run",
}

func addExplain(app *kingpin.Application, std Streams) {
	cmd := app.Command("explain", "Print the log lines about one job in order of time, and the cause of its outcome. Example: dogwoodgauge explain 5c0e7a21d94b36f8 entry-1.log agent-*.log")
	id := cmd.Arg("id", "ID of the job, or of the caller's request.").Required().String()
	files := cmd.Arg("log", "Log files of any processes; standard input without one.").Strings()
	cmd.Action(action(func() error {
		lines, err := readLogs(*files, std.In)
		if err != nil {
			return err
		}
		if lines, err = filterByID(*id, lines); err != nil {
			return err
		}
		if len(lines) == 0 {
			return errors.Errorf("no line about job or request %s; was the log of its dispatcher given?", *id)
		}
		explain(std.Out, lines)
		return nil
	}))
}

// filterByID returns the lines about one job, with their fields decoded. The ID is that of
// the job or that of the request that submitted it.
func filterByID(id string, lines []logLine) ([]logLine, error) {
	job := id
	for _, l := range lines {
		if l.Request == id {
			job = l.Job
		}
	}
	lines = slices.DeleteFunc(lines, func(l logLine) bool { return l.Job != job })
	for i := range lines {
		if err := json.Unmarshal(lines[i].raw, &lines[i].fields); err != nil {
			return nil, errors.Wrap(err, "decode a log line")
		}
	}
	return lines, nil
}

// readLogs returns the lines about jobs from the files, or from in without files, in
// order of their timestamps.
func readLogs(files []string, in io.Reader) ([]logLine, error) {
	var all []logLine
	if len(files) == 0 {
		lines, err := scanLog(in)
		if err != nil {
			return nil, err
		}
		all = lines
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := scanLog(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return all, nil
}

// scanLog returns the lines about jobs. It skips any text before the JSON object of a
// line, such as the prefix of a log collector, and lines without a JSON object.
func scanLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, jobField) {
			continue
		}
		var l logLine
		if json.Unmarshal(text[start:], &l) != nil || l.Job == "" {
			continue
		}
		l.raw = bytes.Clone(text[start:])
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// explain prints the lines, then the reason or the outcome in the last line that
// reports the completion or refusal of the job.
func explain(w io.Writer, lines []logLine) {
	for _, l := range lines {
		fmt.Fprintf(w, "%s %s %s%s\n", l.Time, l.Part, l.Event, l.details())
	}
	var last *logLine
	for i := range lines {
		if lines[i].Event == "job_ended" || lines[i].Event == "job_refused" {
			last = &lines[i]
		}
	}
	if last == nil {
		fmt.Fprintln(w, "cause: no dispatcher logged the job's completion: the dispatcher was lost, or its log was not given")
		return
	}
	reason, _ := last.fields["reason"].(string)
	outcome, _ := last.fields["outcome"].(string)
	if reason == "" {
		fmt.Fprintf(w, "outcome: %s\n", outcome)
		return
	}
	fmt.Fprintf(w, "cause: %s: %s\n", reason, cmp.Or(causes[reason], "see the lines above"))
}

// details returns the fields of a line, without those that explain prints itself and
// without the level.
func (l *logLine) details() string {
	var b strings.Builder
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		if !slices.Contains([]string{"time", "level", "msg", "part", "job"}, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, l.fields[key])
	}
	return b.String()
}
