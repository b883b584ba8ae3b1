package transport

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// baseBytes is the assumed size of a message without its payloads.
	baseBytes = 256
	// taskBytes is the assumed size of one task or result without its payload.
	taskBytes = 32
	// labelBytes is the assumed size of one label without its text.
	labelBytes = 8
)

// encodedBytes estimates the encoded size of a message. Queues and envelopes are
// limited by it.
func encodedBytes(m *message.Message) int {
	size := baseBytes
	switch {
	case m.Submit != nil:
		for i := range m.Submit.Job.Tasks {
			size += taskSize(&m.Submit.Job.Tasks[i])
		}
	case m.Answer != nil:
		size += answerSize(&m.Answer.Answer)
	case m.Offer != nil:
		size += len(m.Offer.Spec) + len(m.Offer.Service) + len(m.Offer.RequiredLabel) + len(m.Offer.Route) + len(m.Offer.Task.Job)
	case m.Start != nil:
		size += taskSize(&m.Start.Task)
	case m.Result != nil:
		size += base64Size(len(m.Result.Body)) + len(m.Result.Detail)
	case m.Status != nil:
		size += len(m.Status.Upstreams)*baseBytes + digestSize(m.Status.Digest) + reportSize(m.Status.Report)
	case m.Records != nil:
		size += base64Size(len(m.Records.Snapshot))
		for _, r := range m.Records.Records {
			size += base64Size(len(r))
		}
	case m.Handoff != nil:
		for i := range m.Handoff.Answers {
			size += baseBytes + answerSize(&m.Handoff.Answers[i])
		}
	}
	return size
}

func digestSize(d *freshness.Digest) int {
	if d == nil {
		return 0
	}
	return base64Size(len(d.Ages))
}

func reportSize(r *message.Report) int {
	if r == nil {
		return 0
	}
	return baseBytes + len(r.Quarantines)*taskBytes
}

func taskSize(t *job.Task) int {
	size := taskBytes + base64Size(len(t.Payload))
	for k, v := range t.Labels {
		size += labelBytes + len(k) + len(v)
	}
	return size
}

func answerSize(a *job.Answer) int {
	size := len(a.Detail) + len(a.States)*taskBytes
	for _, r := range a.Results {
		size += taskBytes + base64Size(len(r))
	}
	return size
}

func base64Size(n int) int { return (n + 2) / 3 * 4 }
