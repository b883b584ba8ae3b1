package backlog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// place lets demand be placed at a rate per second, in steps of 10 ms, and returns the end.
func place(b *Backlog, from, d time.Duration, rate int) time.Duration {
	for now := from; now < from+d; now += 10 * time.Millisecond {
		b.Update(now, b.Total() > 0)
		b.Placed(now, rate/100)
	}
	return from + d
}

// TestLostCapacity guards against refusals by a rate that is out of date: with a backlog, a rate
// that falls to a third, as after the loss of agents, or rises again is known within a second. A
// pause of placements for 300 ms does not count as a loss.
func TestLostCapacity(t *testing.T) {
	var b Backlog
	b.Add(Entry{Demand: 1})
	now := place(&b, time.Second, 2*time.Second, 30000)
	now = place(&b, now, 300*time.Millisecond, 0)
	now = place(&b, now, 100*time.Millisecond, 30000)
	if rate, _ := b.Rate(now); rate < 20000 {
		t.Errorf("got rate %.0f after a pause of 300 ms, want at least 20000 of 30000", rate)
	}
	now = place(&b, now, time.Second, 10000)
	if rate, _ := b.Rate(now); rate > 12000 {
		t.Errorf("got rate %.0f a second after the loss, want about 10000", rate)
	}
	now = place(&b, now, time.Second, 30000)
	if rate, _ := b.Rate(now); rate < 27000 {
		t.Errorf("got rate %.0f a second after the return, want about 30000", rate)
	}
}

// TestUnknownRate guards against refusals without a known rate: right after a start, without
// a backlog, and while nothing is placed.
func TestUnknownRate(t *testing.T) {
	var b Backlog
	e := Entry{Priority: 1, Objective: time.Hour, Demand: 1000}
	check := func(state string, now time.Duration, want bool) {
		t.Helper()
		if f, ok := b.Forecast(now, e, time.Hour); ok != want {
			t.Errorf("%s: got forecast %+v, %v", state, f, ok)
		}
	}
	check("at the start", 0, false)
	now := place(&b, time.Second, time.Second, 10000)
	check("without a backlog", now, false)
	b.Add(Entry{Demand: 1e6})
	now = place(&b, now, minObserved/2, 10000)
	check("after a short backlog", now, false)
	now = place(&b, now, minObserved, 10000)
	check("with a backlog", now, true)
	check("after a second without placements", place(&b, now, 1200*time.Millisecond, 0), false)
}

// TestAhead checks the sums against a scan of the entries, after random additions and removals.
// Only entries with nearly the same objective may count differently.
func TestAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var entries []Entry
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if len(entries) > 0 && rapid.Bool().Draw(t, "remove") {
				q.Remove(entries[0])
				entries = entries[1:]
				continue
			}
			e := Entry{rapid.IntRange(0, 2).Draw(t, "priority"), Class(rapid.IntRange(0, 2).Draw(t, "class")), bucketWidth * time.Duration(rapid.IntRange(0, 9).Draw(t, "objective")), rapid.IntRange(1, 9).Draw(t, "demand")}
			entries = append(entries, e)
			q.Add(e)
		}
		e, want := Entry{1, Class(rapid.IntRange(0, 2).Draw(t, "class")), 5 * bucketWidth, 1}, 0
		for _, o := range entries {
			if o.Priority < 1 || o.Priority == 1 && (e.Class == Late && o.Class != Late || o.Class != OnTime && (o.Class == Late) == (e.Class == Late) && o.Objective < e.Objective) {
				want += o.Demand
			}
		}
		if got := q.Ahead(e); got != want {
			t.Errorf("%+v behind %+v: got %d ahead, want %d", e, entries, got, want)
		}
	})
}

// TestRetriesAreSpread guards against a second wave when 200 callers refused at the same time
// return in the same second: no second gets more than twice its part. Those who have waited
// longer, or whose priority has a shorter backlog, do not return later.
func TestRetriesAreSpread(t *testing.T) {
	const drain = 8 * time.Second
	seconds := map[int]int{}
	for i := range 200 {
		id := fmt.Sprintf("%016x", i*7919)
		delay := RetryAfter(drain, time.Second, id)
		seconds[int((delay+time.Second-1)/time.Second)]++
		if RetryAfter(drain, 2*time.Second, id) > delay || RetryAfter(drain/2, time.Second, id) > delay || delay < minRetry {
			t.Errorf("job %s: got delay %v, longer for who is more urgent or has waited longer", id, delay)
		}
	}
	for s, n := range seconds {
		if n > 2*200/8 {
			t.Errorf("got %d of 200 callers asked back in second %d, want at most 50", n, s)
		}
	}
}
