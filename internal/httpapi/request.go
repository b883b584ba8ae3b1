package httpapi

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/jsonarray"
)

// DefaultTimeout is the timeout of a job whose request has none.
const DefaultTimeout = 10 * time.Second

const (
	maxTeamBytes = 128
	// maxLabelBytes bounds the key and the value of a label, each on its own.
	maxLabelBytes = 253
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	ID      job.ID `json:"id,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Team    string `json:"team"`
	// Created is the time of the first submission in milliseconds since the Unix epoch.
	Created int64 `json:"created,omitempty"`
	// TimeoutMillis is the time in milliseconds from this request to the deadline.
	TimeoutMillis int64        `json:"timeout_ms,omitempty"`
	Class         job.Class    `json:"class,omitempty"`
	Idempotent    bool         `json:"idempotent,omitempty"`
	Tasks         TaskRequests `json:"tasks"`
}

// TaskRequests are the tasks of a JobRequest. One more than job.MaxTasks are decoded at most.
type TaskRequests []TaskRequest

// UnmarshalJSON implements json.Unmarshaler.
func (r *TaskRequests) UnmarshalJSON(text []byte) (err error) {
	*r, err = jsonarray.Decode[TaskRequest](text, job.MaxTasks+1, true)
	if errors.Is(err, jsonarray.ErrTooMany) {
		return httpserver.TooLarge("tasks has more than %d items", job.MaxTasks)
	}
	return err
}

// TaskRequest is one task of a JobRequest. Payload is base64 in JSON.
type TaskRequest struct {
	Labels  label.Set `json:"labels,omitempty"`
	Payload []byte    `json:"payload,omitempty"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxTimeout is the longest timeout of a job.
	MaxTimeout time.Duration
	// ClockBound is the largest difference between the wall clocks of two processes.
	ClockBound time.Duration
}

// DecodeJob parses and validates the body of a submission. Now is the wall-clock time
// in milliseconds since the Unix epoch. The error is an *httpserver.Error.
func DecodeJob(body []byte, now int64, l Limits) (job.Job, error) {
	var r JobRequest
	if err := httpserver.DecodeJSON(body, &r); err != nil {
		return job.Job{}, err
	}
	if err := r.check(l); err != nil {
		return job.Job{}, err
	}
	created, err := r.creationTime(now, l)
	if err != nil {
		return job.Job{}, err
	}
	return r.toJob(created, l), nil
}

// check validates every field except the creation time.
func (r *JobRequest) check(l Limits) error {
	if err := checkID(r.ID); err != nil {
		return err
	}
	if r.Attempt < 0 {
		return httpserver.BadRequest("attempt is %d; it starts at 0", r.Attempt)
	}
	if r.Team == "" {
		return httpserver.BadRequest("team is missing")
	}
	if len(r.Team) > maxTeamBytes {
		return httpserver.BadRequest("team is %d bytes; the limit is %d", len(r.Team), maxTeamBytes)
	}
	if r.TimeoutMillis < 0 || r.TimeoutMillis > l.MaxTimeout.Milliseconds() {
		return httpserver.BadRequest("timeout_ms is %d; it must be from 0 to %d",
			r.TimeoutMillis, l.MaxTimeout.Milliseconds())
	}
	if err := r.checkClass(); err != nil {
		return err
	}
	return r.checkTasks()
}

func (r *JobRequest) checkClass() error {
	names := make([]string, len(job.Classes))
	for i, class := range job.Classes {
		if r.Class == "" || r.Class == class {
			return nil
		}
		names[i] = string(class)
	}
	return httpserver.BadRequest("class is %q; it must be one of %s", r.Class, strings.Join(names, ", "))
}

func (r *JobRequest) checkTasks() error {
	if len(r.Tasks) == 0 {
		return httpserver.BadRequest("tasks is empty; a job has from 1 to %d tasks", job.MaxTasks)
	}
	if len(r.Tasks) > job.MaxTasks {
		return httpserver.TooLarge("tasks has %d items; the limit is %d", len(r.Tasks), job.MaxTasks)
	}
	for i, t := range r.Tasks {
		if len(t.Payload) > job.MaxPayloadBytes {
			return httpserver.TooLarge("tasks[%d].payload is %d bytes; the limit is %d",
				i, len(t.Payload), job.MaxPayloadBytes)
		}
		if err := checkLabels(i, t.Labels); err != nil {
			return err
		}
	}
	return nil
}

func checkLabels(task int, labels label.Set) error {
	if len(labels) > job.MaxLabels {
		return httpserver.BadRequest("tasks[%d].labels has %d items; the limit is %d",
			task, len(labels), job.MaxLabels)
	}
	for key, value := range labels {
		if key == "" || len(key) > maxLabelBytes || len(value) > maxLabelBytes {
			return httpserver.BadRequest("tasks[%d].labels: a key has from 1 to %d bytes and a value at most %d, got %d and %d",
				task, maxLabelBytes, maxLabelBytes, len(key), len(value))
		}
	}
	return nil
}

// checkID accepts only bytes that need no escaping in a URL path, because callers
// fetch a job by its ID in the path.
func checkID(id job.ID) error {
	if len(id) > job.MaxIDBytes {
		return httpserver.BadRequest("id is %d bytes; the limit is %d", len(id), job.MaxIDBytes)
	}
	for _, c := range []byte(id) {
		if !isIDByte(c) {
			return httpserver.BadRequest("id holds the byte %q; letters, digits and -._~: are allowed", c)
		}
	}
	return nil
}

func isIDByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	default:
		return strings.IndexByte("-._~:", c) >= 0
	}
}

// creationTime returns the job's creation time in milliseconds since the Unix epoch.
// It is 0 for a job without an ID, because that job is assigned an ID that contains
// its creation time.
func (r *JobRequest) creationTime(now int64, l Limits) (int64, error) {
	if r.ID == "" {
		return 0, nil
	}
	created, idHasTime := r.ID.UUIDv7Created()
	if m, ok := r.ID.Minted(); ok {
		created, idHasTime = m.Created, true
	}
	switch {
	case !idHasTime && r.Created <= 0:
		return 0, httpserver.BadRequest("created is missing: an ID of the caller's own needs the time of the first " +
			"submission in milliseconds since 1970, or must be a UUID of version 7; or get an ID from POST /v1/ids")
	case !idHasTime:
		created = r.Created
	case r.Created != 0 && r.Created != created:
		return 0, httpserver.BadRequest("created is %d, but the ID carries %d", r.Created, created)
	}
	if created <= 0 {
		return 0, httpserver.BadRequest("created is %d; it must be above 0", created)
	}
	if latest := now + l.ClockBound.Milliseconds(); created > latest {
		return 0, httpserver.BadRequest("created is %d, which is %d ms ahead of the clock; the limit is %d ms",
			created, created-now, l.ClockBound.Milliseconds())
	}
	return created, nil
}

func (r *JobRequest) toJob(created int64, l Limits) job.Job {
	j := job.Job{
		ID:         r.ID,
		Attempt:    r.Attempt,
		Team:       r.Team,
		Created:    created,
		Timeout:    time.Duration(r.TimeoutMillis) * time.Millisecond,
		Class:      r.Class,
		Idempotent: r.Idempotent,
		Tasks:      make([]job.Task, len(r.Tasks)),
	}
	if j.Timeout == 0 {
		j.Timeout = min(DefaultTimeout, l.MaxTimeout)
	}
	if j.Class == "" {
		j.Class = job.Normal
	}
	for i, t := range r.Tasks {
		j.Tasks[i] = job.Task(t)
	}
	return j
}
