package quota

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestAllow(t *testing.T) {
	type call struct {
		at    time.Duration
		tasks int
		ok    bool
	}
	tests := []struct {
		name   string
		rate   float64
		shares int
		calls  []call
	}{
		{"burst, then the rate", 10, 1, []call{{0, 10, true}, {0, 1, false}, {100 * time.Millisecond, 1, true}}},
		{"rate is split among entries", 10, 5, []call{{0, 2, true}, {0, 1, false}, {500 * time.Millisecond, 1, true}}},
		{"a large job makes the tokens negative", 100, 1, []call{
			{0, job.MaxTasks, true},
			{14 * time.Second, 1, false},
			{15 * time.Second, 1, true},
		}},
		{"a small quota admits a task", 0.1, 4, []call{{0, 1, true}, {time.Second, 1, false}, {time.Minute, 1, true}}},
		{"no quota", 0, 3, []call{{0, job.MaxTasks, true}, {0, job.MaxTasks, true}}},
		{"a time that goes back adds no tokens", 10, 1, []call{{time.Second, 10, true}, {0, 1, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(1)
			l.SetShare("team", tt.rate, tt.shares)
			for i, c := range tt.calls {
				ok, retry := l.Allow(c.at, "team", c.tasks)
				if ok != c.ok || (retry > 0) == ok {
					t.Errorf("call %d: ok %v, retry after %v; want the expected ok, and a retry delay only without it", i, ok, retry)
				}
			}
		})
	}
}

// TestRetryAfterIsTrue checks that a refused job is admitted when it is sent again
// after its retry delay.
func TestRetryAfterIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.Uint64().Draw(t, "seed"))
		l.SetShare("team", float64(rapid.IntRange(30, 1000).Draw(t, "rate")), 1)
		now := time.Duration(0)
		tasks := rapid.IntRange(1, job.MaxTasks).Draw(t, "tasks")
		for range 5 {
			ok, retry := l.Allow(now, "team", tasks)
			if ok {
				continue
			}
			now += retry + time.Millisecond
			if ok, _ := l.Allow(now, "team", tasks); !ok {
				t.Fatalf("a job sent again after its retry delay of %v is refused", retry)
			}
		}
	})
}

// TestEntriesAddUp sends tasks of a team to several entries. However the load
// is split among them, the team must not get more than its rate and one burst,
// and must get the shares of the entries that it uses.
func TestEntriesAddUp(t *testing.T) {
	tests := []struct {
		name string
		load []float64
		// parts is the fraction of the rate that must be admitted.
		parts float64
	}{
		{"even load", []float64{100, 100, 100}, 1},
		{"one entry gets all", []float64{300, 0, 0}, 1.0 / 3},
		{"uneven load", []float64{200, 80, 15}, 2.5 / 3},
	}
	const rate, seconds, step = 90.0, 60, 10 * time.Millisecond
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entries := make([]*Limiter, len(tt.load))
			for i := range entries {
				entries[i] = New(uint64(i))
				entries[i].SetShare("team", rate, len(entries))
			}
			due := make([]float64, len(entries))
			admitted := 0.0
			for now := time.Duration(0); now < seconds*time.Second; now += step {
				for i, l := range entries {
					for due[i] += tt.load[i] * step.Seconds(); due[i] >= 1; due[i]-- {
						if ok, _ := l.Allow(now, "team", 1); ok {
							admitted++
						}
					}
				}
			}
			if want := tt.parts * rate; admitted < 0.99*want*seconds || admitted > want*(seconds+1) {
				t.Errorf("admitted %.0f tasks at a rate that allows %.0f, not the expected fraction of them", admitted, rate*seconds)
			}
		})
	}
}

func BenchmarkAllow(b *testing.B) {
	for _, n := range []int{11, 110, 920} {
		b.Run("teams="+strconv.Itoa(n), func(b *testing.B) {
			l := New(1)
			names := make([]string, n)
			for i := range names {
				names[i] = "team-" + strconv.Itoa(i)
				l.SetShare(names[i], 1000, 3)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Allow(time.Duration(i)*time.Microsecond, names[i%n], 1)
			}
		})
	}
}
