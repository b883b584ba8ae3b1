package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// payload is the payload of a task; its result has the same size.
var payload = make([]byte, 200)

// submitter submits jobs to the entries of a fleet in round-robin order, and counts
// their answers.
type submitter struct {
	fleet   *fleet
	entries []*member
	calls   uint64
	done    int
	failed  int
}

func newSubmitter(f *fleet) *submitter {
	s := &submitter{fleet: f}
	for _, m := range f.members {
		if m.entry != nil {
			s.entries = append(s.entries, m)
		}
	}
	return s
}

// submit submits one job with the given number of tasks.
func (s *submitter) submit(tasks int) {
	s.calls++
	j := job.Job{Team: "shop", Timeout: 30 * time.Second, Class: job.Normal, Tasks: make([]job.Task, tasks)}
	for i := range j.Tasks {
		j.Tasks[i] = job.Task{Labels: map[string]string{"kind": "stock"}, Payload: payload}
	}
	s.fleet.replies[s.calls] = func(r entry.Reply) {
		s.done++
		if !r.Answer.Complete() {
			s.failed++
		}
	}
	entryMember := s.entries[s.calls%uint64(len(s.entries))]
	s.fleet.step(entryMember, entry.SubmitCall{Call: s.calls, Job: j, Wait: true})
}

// submitEvenly schedules jobs of the given number of tasks at even intervals over
// the duration d, and returns their number.
func (s *submitter) submitEvenly(tasks int, tasksPerSecond float64, d time.Duration) int {
	gap := time.Duration(float64(tasks) / tasksPerSecond * float64(time.Second))
	jobs := int(d / gap)
	for i := range jobs {
		s.fleet.schedule(time.Duration(i)*gap, func() { s.submit(tasks) })
	}
	return jobs
}

// BenchmarkTask reports the CPU time and traffic that one task adds to the whole
// system, including the encoding of messages. To exclude the control traffic of an
// idle fleet, it subtracts what the fleet spends in the same time without jobs.
// tasks is the number of tasks of a job, percent the share of the slots in use.
func BenchmarkTask(b *testing.B) {
	for _, agents := range []int{11, 50, 200} {
		for _, tasks := range []int{1, 10, 100, 1500} {
			for _, percent := range []int{20, 40, 60} {
				b.Run(fmt.Sprintf("agents=%d/tasks=%d/percent=%d", agents, tasks, percent), func(b *testing.B) {
					measureTasks(b, agents, tasks, percent)
				})
			}
		}
	}
}

func measureTasks(b *testing.B, agents, tasks, percent int) {
	b.Helper()
	const duration = 10 * time.Second
	f := newFleet(agents, entryCount(agents))
	f.run(5 * time.Second)
	idle := measureCost(b, f, duration)
	s := newSubmitter(f)
	rate := float64(agents*slots) / f.taskTime.Seconds() * float64(percent) / 100
	s.submitEvenly(tasks, rate, duration)
	f.starts = 0
	busy := measureCost(b, f, duration+5*time.Second)
	if s.done == 0 {
		b.Fatal("got no answered job, want at least one")
	}
	starts := float64(f.starts)
	durationRatio := (duration + 5*time.Second).Seconds() / duration.Seconds()
	b.ReportMetric(starts/duration.Seconds(), "starts/s")
	b.ReportMetric((busy.cpu.Seconds()-durationRatio*idle.cpu.Seconds())/starts*1e6, "cpu-us/start")
	b.ReportMetric((busy.frames-durationRatio*idle.frames)/starts, "frames/start")
	b.ReportMetric((busy.bytes-durationRatio*idle.bytes)/starts, "B/start")
	b.ReportMetric(100*float64(s.failed)/float64(s.done), "%failed")
	b.ReportMetric(0, "ns/op")
}

// cost is the CPU time and traffic that a fleet has spent.
type cost struct {
	cpu           time.Duration
	frames, bytes float64
}

// measureCost runs the fleet for d and returns what it spent.
func measureCost(b *testing.B, f *fleet, d time.Duration) cost {
	b.Helper()
	for _, m := range f.members {
		m.sent = traffic{}
	}
	start := cpuTime(b)
	f.run(d)
	e := cost{cpu: cpuTime(b) - start}
	for _, m := range f.members {
		e.frames += float64(m.sent.frames)
		e.bytes += float64(m.sent.bytes)
	}
	return e
}

// BenchmarkRetainedJob reports the memory that a completed job takes while its
// agent retains it.
func BenchmarkRetainedJob(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		for _, jobs := range []int{1000, 2000, 4000} {
			b.Run(fmt.Sprintf("tasks=%d/jobs=%d", tasks, jobs), func(b *testing.B) {
				f := newFleet(1, 1)
				f.taskTime = time.Millisecond
				f.run(5 * time.Second)
				s := newSubmitter(f)
				before := heapBytes()
				s.submitEvenly(tasks, 2000, time.Duration(jobs*tasks)*time.Second/2000+time.Second/1000)
				f.run(time.Duration(jobs*tasks)*time.Second/2000 + 5*time.Second)
				if s.failed > 0 {
					b.Errorf("got %d failed jobs, want 0", s.failed)
				}
				b.ReportMetric((heapBytes()-before)/float64(s.done), "B/job")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(f)
			})
		}
	}
}
