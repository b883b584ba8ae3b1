package unruly

import (
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// bodyBytes is a size of a body that operators allow: 256 KiB at most.
const bodyBytes = 250 << 10

// TestBodies sends bodies of legal size, or far above it, to a dispatcher.
func TestBodies(t *testing.T) {
	for name, behave := range map[string]behaviour{
		"stop short":           submissions.stopShort(bodyBytes),
		"stop short in chunks": submissions.stopShortInChunks(bodyBytes, 50<<10),
		"stop short in bytes":  submissions.stopShortInChunks(bodyBytes, 1),
		"malformed":            submissions.submit([]byte(strings.Repeat("x", bodyBytes))),
		"announced too large":  submissions.flood(64<<10, 1024, true),
		"sent too large":       submissions.flood(64<<10, 512, false),
	} {
		t.Run(name, func(t *testing.T) {
			d := startLeased(t, true)
			d.endure(d.callers(), clients, true, true, behave)
		})
	}
}

// TestConnections opens more connections than a dispatcher serves, and sends on them what is no
// request yet, or requests whose answers are not read.
func TestConnections(t *testing.T) {
	for name, tt := range map[string]struct {
		reads  bool
		behave behaviour
	}{
		"silent":      {true, silent},
		"half header": {true, halfHeader},
		"not reading": {false, pipeline("/")},
	} {
		t.Run(name, func(t *testing.T) {
			d := startLeased(t, true)
			d.endure(d.callers(), clients, true, tt.reads, tt.behave)
		})
	}
}

// maxTasks is the largest number of tasks of a job.
const maxTasks = 1500

// job returns a submission with these steps, whose tasks occupy the whole upstream.
func job(steps string) []byte {
	return platform.StandinJobBody(`"{\"work\":20000000,\"pad\":\"`+strings.Repeat("x", 3500)+`\"}"`, "["+steps+"]")
}

// afterLists returns steps of one task, each after many of those before it.
func afterLists() string {
	const perStep = 40
	var steps []string
	for i := range maxTasks {
		var after []string
		for j := max(0, i-perStep); j < i; j++ {
			after = append(after, strconv.Itoa(j))
		}
		steps = append(steps, `{"count":1,"cpu":16000,"after":[`+strings.Join(after, ",")+`]}`)
	}
	return strings.Join(steps, ",")
}

// TestLargeJobs submits jobs whose bodies are of legal size and that take much memory once they
// are decoded or accepted.
func TestLargeJobs(t *testing.T) {
	for name, tt := range map[string]struct {
		served bool
		behave behaviour
	}{
		"empty steps": {true, submissions.submit(platform.StandinJobBody(`""`, "[{}"+strings.Repeat(",{}", bodyBytes/3-100)+"]"))},
		"one list":    {true, submissions.submit(platform.StandinJobBody(`""`, `[{"count":1},{"count":1,"after":[0`+strings.Repeat(",0", bodyBytes/2-100)+"]}]"))},
		// The tasks of the crowd wait for the upstream and leave no room for others.
		"many tasks": {false, submissions.submitOnce(job(`{"count":1500,"cpu":16000}`))},
		// All tasks of several jobs fit on the upstream, if what they ask for is all that counts.
		"tiny tasks":  {false, submissions.submitOnce(job(`{"count":1500,"cpu":1}`))},
		"after lists": {false, submissions.submitOnce(job(afterLists()))},
	} {
		t.Run(name, func(t *testing.T) {
			d := startLeased(t, true)
			d.endure(d.callers(), clients, tt.served, true, tt.behave)
		})
	}
}

// TestOtherPorts sends to the ports of a dispatcher that callers do not use.
func TestOtherPorts(t *testing.T) {
	d := startLeased(t, true)
	other := target{"GET", "x", func(int) string { return "/v1/ready" }}
	for _, addr := range []string{d.ready(), d.metrics(), d.transport()} {
		for _, behave := range []behaviour{other.stopShort(bodyBytes), other.flood(64<<10, 64, false), silent, halfHeader} {
			w := gather(t, clients, addr, true, behave)
			w.settle(t)
			d.awaitOrdinaryJob()
			w.disperse()
		}
	}
	d.dispatcher.check(dispatcherMemory, dispatcherConnections+otherDescriptors+3*clients)
}

// TestCrowdAtStart lets the crowd come before the dispatcher has read its configuration.
func TestCrowdAtStart(t *testing.T) {
	d := startLeased(t, false)
	d.endure(d.callers(), clients, true, true, submissions.stopShort(bodyBytes))
}

// TestCrowdAtStop lets the crowd stay while the dispatcher stops as planned.
func TestCrowdAtStop(t *testing.T) {
	d := startLeased(t, true)
	w := gather(t, clients, d.callers(), true, submissions.stopShort(bodyBytes))
	w.settle(t)
	if err := d.dispatcher.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	highest := d.dispatcher.lastStatus("VmHWM:")
	d.dispatcher.checkBounds(highest, dispatcherMemory, dispatcherConnections+otherDescriptors)
}
