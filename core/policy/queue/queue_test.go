package queue

import (
	"cmp"
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func popAll(q *Queue[string]) []string {
	var out []string
	for {
		v, ok := q.Pop(nil)
		if !ok {
			return out
		}
		out = append(out, v)
	}
}

func TestPopOrder(t *testing.T) {
	q := New[string](8)
	q.Push("b1", job.Batch, 1)
	q.Push("n2", job.Normal, 2)
	q.Push("u9", job.Urgent, 9)
	q.Push("u3", job.Urgent, 3)
	q.Push("default4", "", 4)
	q.Push("u3later", job.Urgent, 3)
	want := []string{"u3", "u3later", "u9", "n2", "default4", "b1"}
	if got := popAll(q); !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestPushToFullQueue(t *testing.T) {
	tests := []struct {
		name    string
		held    []job.Class
		push    job.Class
		ok      bool
		evicted []int
	}{
		{"same class is refused", []job.Class{job.Urgent, job.Urgent}, job.Urgent, false, nil},
		{"lower class is refused", []job.Class{job.Urgent, job.Normal}, job.Batch, false, nil},
		{"batch is evicted first", []job.Class{job.Batch, job.Normal}, job.Urgent, true, []int{0}},
		{"normal is evicted for urgent", []job.Class{job.Normal, job.Urgent}, job.Urgent, true, []int{0}},
		{"latest deadline is evicted", []job.Class{job.Batch, job.Batch}, job.Normal, true, []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New[int](len(tt.held))
			for i, c := range tt.held {
				q.Push(i, c, time.Duration(i))
			}
			got := q.Push(99, tt.push, 0)
			if got.OK != tt.ok || !slices.Equal(got.Evicted, tt.evicted) {
				t.Errorf("got %+v, want ok %v evicted %v", got, tt.ok, tt.evicted)
			}
			if q.Len() != len(tt.held) {
				t.Errorf("length %d, want %d", q.Len(), len(tt.held))
			}
		})
	}
}

func TestLowerClassesAreNotStarved(t *testing.T) {
	q := New[job.Class](10_000)
	for i := range 1000 {
		for _, c := range job.Classes {
			q.Push(c, c, time.Duration(i))
		}
	}
	count := make(map[job.Class]int)
	const pops = 990
	for range pops {
		c, _ := q.Pop(nil)
		count[c]++
	}
	if got := count[job.Normal]; got < pops/(NormalPassOverLimit+2) {
		t.Errorf("%d of %d popped items are normal, less than the share that the limit guarantees", got, pops)
	}
	if got := count[job.Batch]; got < pops/(BatchPassOverLimit+2) {
		t.Errorf("%d of %d popped items are batch, less than the share that the limit guarantees", got, pops)
	}
	if got := count[job.Urgent]; got < pops*8/10 {
		t.Errorf("%d of %d popped items are urgent, want at least 80 percent", got, pops)
	}
}

func TestStarvedClassOverridesReserve(t *testing.T) {
	q := New[job.Class](1000)
	q.Push(job.Batch, job.Batch, 0)
	for i := range 200 {
		q.Push(job.Urgent, job.Urgent, time.Duration(i))
	}
	admit := func(c job.Class) bool { return c != job.Batch || q.Starved(c) }
	for n := range 200 {
		if c, _ := q.Pop(admit); c == job.Batch {
			if n < BatchPassOverLimit*starvedFactor {
				t.Errorf("batch admitted after only %d pops of other classes", n)
			}
			return
		}
	}
	t.Error("no batch item was popped before all urgent items")
}

// TestQueueAgainstModel checks random operations against a plain list of items.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		q := New[int](limit)
		type item struct {
			v        int
			class    job.Class
			deadline time.Duration
			h        Handle
		}
		var held []item
		removeHeld := func(v int) item {
			i := slices.IndexFunc(held, func(x item) bool { return x.v == v })
			if i < 0 {
				t.Fatalf("the queue returned item %d, which is not queued", v)
			}
			x := held[i]
			held = slices.Delete(held, i, i+1)
			return x
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				x := item{v: next, class: rapid.SampledFrom(job.Classes).Draw(t, "class")}
				x.deadline = time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
				p := q.Push(x.v, x.class, x.deadline)
				for _, v := range p.Evicted {
					if old := removeHeld(v); old.class.Rank() <= x.class.Rank() {
						t.Fatalf("an item of class %s evicted one of class %s, which is not lower", x.class, old.class)
					}
				}
				if p.OK {
					x.h = p.Handle
					held = append(held, x)
				}
			},
			"pop": func(t *rapid.T) {
				excluded := rapid.SampledFrom(job.Classes).Draw(t, "barred")
				first := make(map[int]bool)
				for _, c := range job.Classes {
					if v, ok := q.Peek(c); ok {
						first[v] = true
					}
				}
				v, ok := q.Pop(func(c job.Class) bool { return c != excluded })
				if ok && !first[v] {
					t.Fatalf("popped item %d, which Peek returned for no class", v)
				}
				if !ok {
					if slices.ContainsFunc(held, func(x item) bool { return x.class != excluded }) {
						t.Fatal("no item was popped although one of an admitted class is queued")
					}
					return
				}
				x := removeHeld(v)
				if x.class == excluded {
					t.Fatalf("popped an item of class %s, which was not admitted", x.class)
				}
				for _, o := range held {
					if o.class == x.class && o.deadline < x.deadline {
						t.Fatalf("popped deadline %d before the earlier deadline %d", x.deadline, o.deadline)
					}
				}
			},
			"remove": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				x := rapid.SampledFrom(held).Draw(t, "item")
				if v, ok := q.Remove(x.h); !ok || v != x.v {
					t.Fatalf("Remove returned %d, %v, want the queued item", v, ok)
				}
				removeHeld(x.v)
			},
			"expire": func(t *rapid.T) {
				now := time.Duration(rapid.IntRange(0, 20).Draw(t, "now"))
				for _, v := range q.Expire(now) {
					removeHeld(v)
				}
				if d, ok := q.NextDeadline(); ok && d <= now {
					t.Fatalf("an item with deadline %d is still queued after Expire at %d", d, now)
				}
			},
			"removeFunc": func(t *rapid.T) {
				for _, v := range q.RemoveFunc(func(v int) bool { return v%3 == 0 }) {
					removeHeld(v)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(held) || q.Len() > limit {
					t.Fatalf("length of the queue is %d, want %d, and at most the limit", q.Len(), len(held))
				}
				held = slices.SortedFunc(slices.Values(held), func(a, b item) int { return cmp.Compare(a.v, b.v) })
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{11, 110, 920} {
		b.Run("queued="+strconv.Itoa(n), func(b *testing.B) {
			q := New[int](n + 1)
			for i := range n {
				q.Push(i, job.Classes[i%levelCount], time.Duration(i*7919%1000))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(i, job.Classes[i%levelCount], time.Duration(i*7919%1000))
				q.Pop(nil)
			}
		})
	}
}
