package admission

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

// overloaded returns a controller with class over its target at one second.
func overloaded(class job.Class) *Controller {
	c := New()
	for now := 500 * ms; now <= time.Second; now += 50 * ms {
		c.Observe(now, class, BatchTarget+ms)
	}
	return c
}

// withFloor returns a controller with floor d and the urgent class over its
// target at one second.
func withFloor(d time.Duration) *Controller {
	c := overloaded(job.Urgent)
	c.SetFloor(d)
	return c
}

func TestAdmit(t *testing.T) {
	request := func(class job.Class, wait time.Duration) Request {
		return Request{Class: class, Timeout: 10 * time.Second, Wait: wait, Service: 100 * ms}
	}
	tests := []struct {
		name string
		c    *Controller
		r    Request
		want Reason
	}{
		{"no delay observed", New(), request(job.Batch, time.Second), Admitted},
		{"cannot complete in time", New(), request(job.Urgent, 9950*ms), Late},
		{"may complete in time", New(), Request{Class: job.Urgent, Timeout: time.Second, Wait: 5 * time.Second, Margin: 4500 * ms}, Admitted},
		{"deadline passed", New(), Request{Class: job.Urgent}, Late},
		{"free slot with a short deadline", New(), Request{Timeout: ms, Service: time.Second}, Admitted},
		{"batch over: batch is limited", overloaded(job.Batch), request(job.Batch, 3*time.Second), Overload},
		{"batch over: normal is not", overloaded(job.Batch), request(job.Normal, 3*time.Second), Admitted},
		{"normal over: batch is shed", overloaded(job.Normal), request(job.Batch, 10*ms), Shed},
		{"normal over: normal is limited", overloaded(job.Normal), request(job.Normal, 501*ms), Overload},
		{"normal over: short wait is admitted", overloaded(job.Normal), request("", 499*ms), Admitted},
		{"normal over: urgent is not", overloaded(job.Normal), request(job.Urgent, time.Second), Admitted},
		{"urgent over: batch is shed", overloaded(job.Urgent), request(job.Batch, ms), Shed},
		{"urgent over: normal is shed", overloaded(job.Urgent), request(job.Normal, ms), Shed},
		{"urgent over: urgent is limited", overloaded(job.Urgent), request(job.Urgent, 51*ms), Overload},
		{"urgent over: with a floor, a wait at the floor is admitted", withFloor(60 * ms), request(job.Urgent, 60*ms), Admitted},
		{"urgent over: with a floor, a longer wait is refused", withFloor(60 * ms), request(job.Urgent, 61*ms), Overload},
		{"urgent over: urgent is limited to its target", overloaded(job.Urgent), request(job.Urgent, 21*ms), Overload},
		{"urgent over: a free slot is used", overloaded(job.Urgent), request(job.Batch, 0), Admitted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := tt.c.Admit(time.Second, tt.r)
			if got.Reason != tt.want || got.OK != (tt.want == Admitted) {
				t.Errorf("decision is %+v, want reason %q", got, tt.want)
			}
			if !got.OK && got.RetryAfter <= 0 {
				t.Error("RetryAfter of a refusal is not positive")
			}
		})
	}
}

func TestOverNeedsAWholeInterval(t *testing.T) {
	c := New()
	c.Observe(0, job.Urgent, time.Second)
	if c.OverTarget(interval-1, job.Urgent) {
		t.Error("over the target before the interval has passed")
	}
	c.Observe(interval, job.Urgent, time.Second)
	if !c.OverTarget(interval, job.Urgent) {
		t.Error("not over the target after a whole interval of long delays")
	}
	c = New()
	c.Observe(0, job.Urgent, time.Second)
	c.Observe(interval/2, job.Urgent, UrgentTarget)
	c.Observe(interval, job.Urgent, time.Second)
	if c.OverTarget(interval, job.Urgent) {
		t.Error("over the target although one delay of the interval was short")
	}
}

func TestRecovery(t *testing.T) {
	c := overloaded(job.Urgent)
	if !c.OverTarget(time.Second+Recovery, job.Urgent) {
		t.Error("no longer over the target before the recovery time has passed")
	}
	if c.OverTarget(time.Second+Recovery+1, job.Urgent) {
		t.Error("still over the target after the recovery time without long delays")
	}
	r := Request{Class: job.Urgent, Timeout: time.Minute, Wait: time.Second}
	c.Admit(time.Second+Recovery, r)
	if !c.OverTarget(time.Second+2*Recovery, job.Urgent) {
		t.Error("no longer over the target although a request was refused within the recovery time")
	}
}

// TestClassesAreShedInOrder checks, after random delays, that no class is admitted
// while a higher class with the same wait is refused.
func TestClassesAreShedInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		now := time.Duration(0)
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * ms
			class := rapid.SampledFrom(job.Classes).Draw(t, "class")
			c.Observe(now, class, time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay"))*ms)
		}
		wait := time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * ms
		refused := false
		for _, class := range job.Classes {
			d := c.Admit(now, Request{Class: class, Timeout: time.Minute, Wait: wait})
			if refused && d.OK {
				t.Fatalf("class %s is admitted although a higher class is refused", class)
			}
			refused = refused || !d.OK
		}
	})
}

// TestBurst sends one executor with 8 slots three times the load that it can
// serve for five seconds, in tasks of 100 ms. During the burst the queue delay of
// urgent tasks must stay within four targets, and within the target from two
// seconds after it.
func TestBurst(t *testing.T) {
	const slots, service = 8, 100 * ms
	const step = service / slots
	const begin, end = 2 * time.Second, 7 * time.Second
	c := New()
	var queue []time.Duration
	admitted, refused := 0, 0
	arrivals := func(now time.Duration) int {
		if now >= begin && now < end {
			return 3
		}
		return int(now/step) % 2
	}
	for now := time.Duration(0); now < 12*time.Second; now += step {
		for range arrivals(now) {
			wait := step * time.Duration(len(queue))
			if c.Admit(now, Request{Class: job.Urgent, Timeout: 5 * time.Second, Wait: wait, Service: service}).OK {
				queue = append(queue, now)
				admitted++
			} else {
				refused++
			}
		}
		if len(queue) == 0 {
			continue
		}
		delay := now - queue[0]
		queue = queue[1:]
		c.Observe(now, job.Urgent, delay)
		if now > begin+time.Second && delay > 4*UrgentTarget {
			t.Fatalf("delay %v at %v, want at most four times the target of urgent tasks", delay, now)
		}
		if now > end+2*time.Second && delay > UrgentTarget {
			t.Fatalf("delay %v at %v, after the burst, want at most the target of urgent tasks", delay, now)
		}
	}
	if offered := int((end - begin) / step); admitted < offered || refused < offered {
		t.Errorf("admitted %d and refused %d tasks in a burst, want at least %d each", admitted, refused, offered)
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := New()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * ms
		c.Observe(now, job.Classes[i%numClasses], time.Second)
		c.Admit(now, Request{Class: job.Batch, Timeout: time.Second, Wait: ms})
	}
}
