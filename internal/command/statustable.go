package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
)

const (
	// smallFleet is the number of agents up to which every agent is listed.
	smallFleet = 24
	// maxRows bounds the agents that are listed of a larger fleet, and maxNames the
	// names in any other list.
	maxRows  = 40
	maxNames = 10
)

// agentState is an agent's state in the table.
type agentState string

// The states of an agent in order of precedence: an agent to which several states apply
// is shown in the first of them.
const (
	stateDead         agentState = "dead"
	stateUnresponsive agentState = "silent"
	stateLeaving      agentState = "leaving"
	stateUnread       agentState = "unread"
	stateLapsed       agentState = "lapsed"
	stateFailing      agentState = "quarantined"
	stateBehind       agentState = "behind"
	stateUp           agentState = "up"
)

var agentStates = []agentState{
	stateDead, stateUnresponsive, stateLeaving, stateUnread, stateLapsed, stateFailing, stateBehind, stateUp,
}

// stateOf returns the state of an agent as seen by an entry that has applied every
// record before offset.
func stateOf(a *entry.AgentStatus, offset int64) agentState {
	switch {
	case a.Dead:
		return stateDead
	case a.ReportOverdue:
		return stateUnresponsive
	case a.Load.Draining:
		return stateLeaving
	case a.Report != nil && !a.Report.Synced:
		return stateUnread
	case a.Report != nil && a.Report.RemainingLease <= 0:
		return stateLapsed
	case a.Load.Failing:
		return stateFailing
	case a.Offset < offset:
		return stateBehind
	default:
		return stateUp
	}
}

// printStatus writes a summary and then a table of agents: of all agents when all is
// set or the fleet is small, otherwise of those that need attention.
func printStatus(w io.Writer, s *entryd.Status, all bool) error {
	fmt.Fprintf(w, "entry %s domain %s offset %d revision %d synced %t draining %t calls %d\n",
		s.Self, s.Domain, s.Offset, s.Revision, s.Synced, s.Draining, s.Calls)
	for _, name := range slices.Sorted(maps.Keys(s.Violations)) {
		if count := s.Violations[name]; count > 0 {
			fmt.Fprintf(w, "invariant %s violated %d times\n", name, count)
		}
	}
	printEntries(w, s.Entries)
	printSummary(w, s)
	quarantined := sumQuarantines(s.Agents)
	printQuarantines(w, quarantined)
	return printAgents(w, s, quarantined, all)
}

func printEntries(w io.Writer, entries []entry.EntryStatus) {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = string(e.Ref.ID)
	}
	fmt.Fprintf(w, "entries %d: %s\n", len(entries), shorten(names))
}

// shorten joins the first maxNames names and counts the others.
func shorten(names []string) string {
	if over := len(names) - maxNames; over > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), over)
	}
	return strings.Join(names, ", ")
}

// printSummary writes the sums over all agents and names those that did not
// answer.
func printSummary(w io.Writer, s *entryd.Status) {
	counts := make(map[agentState]int)
	var slots, busy, queued, jobs int
	var unresponsive []string
	for i := range s.Agents {
		a := &s.Agents[i]
		state := stateOf(a, s.Offset)
		counts[state]++
		if state == stateDead {
			continue
		}
		slots, busy, queued = slots+a.Load.Slots, busy+a.Load.Busy, queued+a.Load.Queued
		if a.Report != nil {
			jobs += a.Report.Records
		}
		if a.ReportOverdue {
			unresponsive = append(unresponsive, string(a.Ref.ID))
		}
	}
	parts := make([]string, 0, len(agentStates))
	for _, state := range agentStates {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	fmt.Fprintf(w, "agents %d: %s\n", len(s.Agents), strings.Join(parts, ", "))
	fmt.Fprintf(w, "slots %d busy %d queued %d jobs held %d\n", slots, busy, queued, jobs)
	if len(unresponsive) > 0 {
		fmt.Fprintf(w, "did not answer: %s\n", shorten(unresponsive))
	}
}

// quarantineSum sums up the quarantines of one worker.
type quarantineSum struct {
	// agents is the number of agents that have quarantined the worker.
	agents int
	// untilProbation is the longest time until one of them puts the worker on probation.
	untilProbation time.Duration
}

// sumQuarantines returns the sum for each quarantined worker by the ID of the worker's
// agent. An agent sends no task to a worker that it has quarantined.
func sumQuarantines(agents []entry.AgentStatus) map[node.ID]quarantineSum {
	sums := make(map[node.ID]quarantineSum)
	for _, a := range agents {
		if a.Report == nil || a.Dead {
			continue
		}
		for _, q := range a.Report.Quarantines {
			sum := sums[q.Agent]
			sums[q.Agent] = quarantineSum{agents: sum.agents + 1, untilProbation: max(sum.untilProbation, q.UntilProbation)}
		}
	}
	return sums
}

func printQuarantines(w io.Writer, quarantined map[node.ID]quarantineSum) {
	ids := slices.Sorted(maps.Keys(quarantined))
	for _, id := range ids[:min(len(ids), maxNames)] {
		q := quarantined[id]
		until := fmt.Sprintf("probation in %s", q.untilProbation.Round(time.Millisecond))
		if q.untilProbation <= 0 {
			until = "on probation"
		}
		fmt.Fprintf(w, "quarantine of %s: by %d agents, %s\n", id, q.agents, until)
	}
	if over := len(ids) - maxNames; over > 0 {
		fmt.Fprintf(w, "quarantine of %d more\n", over)
	}
}

func printAgents(w io.Writer, s *entryd.Status, quarantined map[node.ID]quarantineSum, all bool) error {
	all = all || len(s.Agents) <= smallFleet
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AGENT\tADDR\tDOMAIN\tWORKER\tSLOTS\tBUSY\tQUEUED\tHEARD\tSTATE\tOFFSET\tLEASE\tUPSTREAMS")
	healthy, omitted, rows := 0, 0, 0
	for i := range s.Agents {
		a := &s.Agents[i]
		state := stateOf(a, s.Offset)
		_, isQuarantined := quarantined[a.Ref.ID]
		switch {
		case !all && state == stateUp && !isQuarantined:
			healthy++
			continue
		case !all && rows == maxRows:
			omitted++
			continue
		}
		rows++
		printAgent(t, a, state)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if healthy+omitted > 0 {
		fmt.Fprintf(w, "not listed: %d that need no attention, %d that do; --all lists them\n", healthy, omitted)
	}
	return nil
}

// leaseText returns the time that is left of an agent's freshness lease. The lease of
// an agent that is a majority of all agents by itself does not end.
func leaseText(r *message.Report) string {
	switch {
	case r == nil:
		return "-"
	case r.RemainingLease <= 0:
		return "ended"
	case r.RemainingLease > freshness.Forever/2:
		return "no end"
	default:
		return r.RemainingLease.Round(time.Millisecond).String()
	}
}

func printAgent(w io.Writer, a *entry.AgentStatus, state agentState) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\t%s\t%d\n", a.Ref.ID, a.Addr, a.Domain, a.Worker,
		a.Load.Slots, a.Load.Busy, a.Load.Queued, a.Age.Round(time.Millisecond), state, a.Offset, leaseText(a.Report), len(a.Upstreams))
}
