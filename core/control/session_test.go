package control_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session holds a log and collects as text, for the golden file, what its readers
// and publishers do.
type session struct {
	strings.Builder
	records [][]byte
	oldest  int64
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s, format+"\n", args...) }

// log appends a record and prints it, or only the word "snapshot" for a snapshot.
func (s *session) log(record []byte) {
	text := string(record)
	if strings.HasPrefix(text, `{"snapshot"`) {
		text = "snapshot"
	}
	s.printf("log %d %s", len(s.records), text)
	s.records = append(s.records, record)
}

// read lets a reader apply all remaining records and prints the effect of each.
func (s *session) read(name string, st *control.State) {
	for offset := max(st.Next(), s.oldest); offset < int64(len(s.records)); offset++ {
		e := st.Apply(offset, s.records[offset])
		s.printf("%s reads %d: config %v, members %v, rejected %q", name, offset, e.ConfigChanged, e.MembersChanged, e.Rejected)
	}
	s.printf("%s: next %d, synced %v, revision %d", name, st.Next(), st.Synced(), st.Config().Revision())
}

// appendFate tells whether an append takes effect and whether its reply
// arrives.
type appendFate string

const (
	replyOK    appendFate = "acknowledged"
	replyLost  appendFate = "written, reply lost"
	recordLost appendFate = "lost"
)

// step lets a publisher do one step: a read, or an append with the given fate.
func (s *session) step(name string, p *control.Publisher, fate appendFate) {
	switch p.Step() {
	case control.StepRead:
		from := max(p.State().Next(), s.oldest)
		p.RecordsRead(from, s.records[min(from, int64(len(s.records))):], int64(len(s.records)))
		s.printf("%s read to %d", name, p.State().Next())
	case control.StepAppend:
		s.printf("%s appends: %s", name, fate)
		if fate != recordLost {
			s.log(p.Record())
		}
		if fate == replyOK {
			p.Appended()
		} else {
			p.AppendFailed()
		}
	}
	if p.Step() == control.StepDone {
		s.printf("%s is done: %+v", name, p.Result())
	}
}

// publish runs a publisher until it is done. Its first appends have the given
// fates, and all further ones are acknowledged.
func (s *session) publish(name string, p *control.Publisher, fates ...appendFate) {
	for p.Step() != control.StepDone {
		fate := replyOK
		if p.Step() == control.StepAppend && len(fates) > 0 {
			fate, fates = fates[0], fates[1:]
		}
		s.step(name, p, fate)
	}
}

func setQuota(quota float64) control.EditFunc {
	return func(*config.Config) []config.Edit {
		return []config.Edit{{Put: &config.Object{Team: &config.Team{Name: "shop", Quota: quota}}}}
	}
}

func TestSession(t *testing.T) {
	s := &session{}
	agent := control.NewState()
	s.printf("# Three agents join.")
	for _, id := range []string{"a", "b", "c"} {
		s.log(join(id, 1))
	}
	s.read("a", agent)
	racing(s)
	s.read("a", agent)
	lostReplies(s)
	s.read("a", agent)
	retention(s, agent)
	rollout(s, agent)

	const golden = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(s.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if s.String() != string(want) {
		t.Errorf("the session differs from the golden file:\n%s", s)
	}
}

func TestPublisherReadsToTheEndFirst(t *testing.T) {
	p := control.NewPublisher("x", "op", control.TakeOut(config.TakeOut{Domain: "south"}))
	p.RecordsRead(0, [][]byte{join("a", 1)}, 2)
	if p.Step() != control.StepRead {
		t.Errorf("with a record left to read: got step %q, want a read", p.Step())
	}
	p.RecordsRead(1, [][]byte{takeOutChange("o", -1, "south")}, 2)
	if p.Step() != control.StepDone || p.Result().Status != control.Unchanged {
		t.Errorf("at the end of the stream: got step %q and result %+v, want done and unchanged", p.Step(), p.Result())
	}
}

func racing(s *session) {
	s.printf("# Two operators publish from one revision; the first in the log wins.")
	p1 := control.NewPublisher("op1-1", "op1", setQuota(100))
	p2 := control.NewPublisher("op2-1", "op2", setQuota(200))
	s.step("op1", p1, replyOK)
	s.step("op2", p2, replyOK)
	s.publish("op2", p2)
	s.publish("op1", p1)
}

func lostReplies(s *session) {
	s.printf("# A reply is lost after the append took effect: the publisher reads and does not append again.")
	s.publish("op3", control.NewPublisher("op3-1", "op3", control.TakeOut(config.TakeOut{Domain: "south"})), replyLost)
	s.printf("# An append is lost: the publisher reads, then appends the same record. The first copy arrives late.")
	p := control.NewPublisher("op4-1", "op4", control.TakeOut(config.TakeOut{Domain: "north"}))
	s.publish("op4", p, recordLost)
	s.log(p.Record())
	s.printf("# Every append is lost.")
	s.publish("op5", control.NewPublisher("op5-1", "op5", setQuota(300)), recordLost, recordLost, recordLost)
	s.printf("# The domain is out already.")
	s.publish("op6", control.NewPublisher("op6-1", "op6", control.TakeOut(config.TakeOut{Domain: "south"})))
}

func retention(s *session, agent *control.State) {
	s.printf("# Retention passes; a new reader waits for a snapshot, which two agents append.")
	s.oldest = 5
	fresh := control.NewState()
	s.read("d", fresh)
	s.printf("snapshot due: %v", agent.SnapshotDue(s.oldest, int64(len(s.records))))
	snapshot := agent.SnapshotRecord()
	s.log(snapshot)
	s.log(snapshot)
	s.read("a", agent)
	s.read("d", fresh)
	s.printf("snapshot due: %v", agent.SnapshotDue(s.oldest, int64(len(s.records))))
	s.printf("equal: %v, south out: %v", string(agent.Snapshot()) == string(fresh.Snapshot()), fresh.Config().TakenOut(config.Place{Domain: "south"}))
}

func rollout(s *session, agent *control.State) {
	s.printf("# The domain comes back; c confirms last.")
	p := control.NewPublisher("op3-2", "op3", control.BringIn(config.TakeOut{Domain: "south"}))
	s.publish("op3", p)
	s.read("a", agent)
	offset := p.Result().Outcome.Offset
	r := control.NewRollout(p.State(), offset, time.Second)
	show := func(now time.Duration) {
		s.printf("at %v in force: %v, missing: %d", now, r.InForce(now), len(r.PendingAgents()))
	}
	show(0)
	r.ObserveOffset(0, ref("a", 1), agent.Next())
	show(10 * time.Second)
	r.ObserveOffset(11*time.Second, ref("b", 1), agent.Next())
	show(11 * time.Second)
	show(12 * time.Second)
	r.ObserveOffset(12*time.Second, ref("c", 1), agent.Next())
	show(12 * time.Second)
	s.printf("# It is in already.")
	s.publish("op3", control.NewPublisher("op3-3", "op3", control.BringIn(config.TakeOut{Domain: "south"})))
}
