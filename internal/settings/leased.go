package settings

import (
	"cmp"
	"net/netip"
	"time"
)

// The roles of the processes on sites whose upstreams run tasks under leases.
const (
	RoleDispatcher Role = "dispatcher"
	RoleLessee     Role = "lessee"
)

// Dispatcher holds the settings of a dispatcher.
type Dispatcher struct {
	Node      Node             `ini:"node"`
	Listen    DispatcherListen `ini:"listen"`
	Store     Store            `ini:"store"`
	Peers     SeedHosts        `ini:"peers"`
	Limits    LeasedLimits     `ini:"limits"`
	Timing    LeasedTiming     `ini:"timing"`
	Placement LeasedPlacement  `ini:"placement"`
	Overload  Overload         `ini:"overload"`
}

// Lessee holds the settings of an agent whose local upstream runs tasks under leases.
type Lessee struct {
	Node     Node           `ini:"node"`
	Listen   LesseeListen   `ini:"listen"`
	Upstream LeasedUpstream `ini:"upstream"`
	Store    Store          `ini:"store"`
	Limits   LeasedLimits   `ini:"limits"`
	Timing   LeasedTiming   `ini:"timing"`
}

// DispatcherListen holds the addresses that a dispatcher listens on.
type DispatcherListen struct {
	// Callers serves the API for callers.
	Callers netip.AddrPort `ini:"callers,required"`
	// Ready serves the load balancer's readiness check.
	Ready netip.AddrPort `ini:"ready,required"`
	// Transport serves the other processes.
	Transport netip.AddrPort `ini:"transport,required"`
	// Metrics serves metrics, health and readiness.
	Metrics netip.AddrPort `ini:"metrics,required"`
}

// LesseeListen holds the addresses that a lessee listens on.
type LesseeListen struct {
	// Announcements receives the announcements of the local upstream.
	Announcements netip.AddrPort `ini:"announcements,required"`
	// Transport serves the other processes; dispatchers connect to this address.
	Transport netip.AddrPort `ini:"transport,required"`
	// Metrics serves metrics, health and readiness.
	Metrics netip.AddrPort `ini:"metrics,required"`
}

// LeasedUpstream locates the local upstream of a lessee.
type LeasedUpstream struct {
	// Address is where the upstream accepts calls.
	Address netip.AddrPort `ini:"address,required"`
	// LearnCapacity lowers the usable capacity when the upstream refuses a start for lack of
	// capacity.
	LearnCapacity bool `ini:"learn_capacity" default:"false"`
	// RefuseFailing refuses offers while polls of the upstream fail.
	RefuseFailing bool `ini:"refuse_failing" default:"false"`
}

// LeasedPlacement selects what a dispatcher considers when it chooses an upstream, besides free
// capacity, failure domain and labels.
type LeasedPlacement struct {
	// LearnSpeed takes the measured speed of upstreams into account.
	LearnSpeed bool `ini:"learn_speed" default:"false"`
	// SeparateInterfering keeps tasks apart that were measured to slow each other down on
	// one upstream, where there is capacity elsewhere.
	SeparateInterfering bool `ini:"separate_interfering" default:"false"`
}

// Factor is 0, or a number of at least 1.
type Factor float64

// maxFactor is the largest Factor.
const maxFactor = 100

// Overload selects what a dispatcher does when its callers ask for more than the upstreams
// can run.
type Overload struct {
	// OrderAcross makes agents serve the waiting tasks of all dispatchers in one order, by
	// priority and objective, instead of each dispatcher in turn.
	OrderAcross bool `ini:"order_across" default:"false"`
	// UsefulFactor is the multiple of its objective after which an answer is of no use to
	// the caller. Zero means that answers are of use until the caller's deadline.
	UsefulFactor Factor `ini:"useful_factor" default:"0"`
	// Predict refuses jobs at once that are predicted to start too late.
	Predict bool `ini:"predict" default:"false"`
	// RefuseLateStarts refuses a job on arrival, under lasting overload, that is predicted to
	// start too late to meet its objective. It needs Predict.
	RefuseLateStarts bool `ini:"refuse_late_starts" default:"false"`
	// MinShare is the least share of the placed capacity for each priority with waiting
	// jobs. Zero means strict order of priority.
	MinShare float64 `ini:"min_share" default:"0"`
}

// Store locates the platform's store.
type Store struct {
	Address netip.AddrPort `ini:"address,required"`
}

// SeedHosts lists hosts of agents from which a dispatcher gets the published state while
// the store is unavailable.
type SeedHosts struct {
	// Seeds are addresses of agents' hosts. LoadDispatcher replaces their ports with the
	// port of the dispatcher's own transport address, since all processes use the same
	// transport port.
	Seeds []netip.AddrPort `ini:"seeds"`
}

// LeasedLimits bounds the memory of a process and what callers may send.
type LeasedLimits struct {
	// Memory is how much memory the host allows the process. The garbage collector
	// keeps the process below it.
	Memory Size `ini:"memory" default:"128MiB"`
	// Body is the largest request body of a caller while the operators state none.
	Body Size `ini:"body" default:"1MiB"`
	// BodyMemory bounds the memory of the large request bodies that the process holds at a time,
	// until they are answered.
	// Without it, that is a twelfth of Memory.
	BodyMemory Size `ini:"body_memory"`
	// Connections is the largest number of open connections of callers. Without it, there is one for
	// every 256 KiB of Memory, up to 2048.
	Connections int `ini:"connections"`
	// OpenTasks is the largest number of tasks of open jobs with more than 16 tasks. Without
	// it, there is one for every 2 KiB of Memory.
	OpenTasks int `ini:"open_tasks"`
}

const (
	// bodyShare is the memory of a process divided by that for large request bodies. An open job
	// may take several times the memory of its body.
	bodyShare = 12
	// connectionBytes is the memory for a connection: its goroutine and buffers, a header, a body
	// that needs no BodyMemory and what the kernel has received.
	connectionBytes = 256 << 10
	// maxConnections and maxEntryConnections bound the default of a dispatcher and of an entry.
	maxConnections      = 2048
	maxEntryConnections = 4096
	// bytesPerTask is the memory of a process for each open task, of which the task takes an eighth.
	bytesPerTask = 2 << 10
)

// BodyMemoryBytes returns the BodyMemory in bytes.
func (l LeasedLimits) BodyMemoryBytes() int64 {
	return int64(cmp.Or(l.BodyMemory, l.Memory/bodyShare))
}

// MaxOpenTasks returns the largest number of tasks of open jobs with more than 16 tasks.
func (l LeasedLimits) MaxOpenTasks() int { return cmp.Or(l.OpenTasks, int(l.Memory/bytesPerTask)) }

// connections returns the setting, or the default for a process with this much memory.
func connections(setting int, memory Size, limit int) int {
	return cmp.Or(setting, max(1, min(int(memory/connectionBytes), limit)))
}

// MaxConnections returns the largest number of open connections.
func (l LeasedLimits) MaxConnections() int {
	return connections(l.Connections, l.Memory, maxConnections)
}

// LeasedTiming holds the durations of a planned stop.
type LeasedTiming struct {
	// Grace is the longest time from SIGTERM to the exit of a process that does not stand
	// still meanwhile.
	Grace time.Duration `ini:"grace" default:"5s"`
	// ReadinessDelay is how long a dispatcher still accepts calls after SIGTERM while
	// its readiness check fails, so that the load balancer notices first. It is part
	// of Grace.
	ReadinessDelay Delay `ini:"readiness_delay" default:"2500ms"`
	// DrainConnections makes a dispatcher accept calls until all connections are closed or
	// Grace is nearly over, and close no connection without an answer. Otherwise it accepts
	// calls during ReadinessDelay.
	DrainConnections bool `ini:"drain_connections" default:"false"`
}

// LoadDispatcher reads and checks the settings file of a dispatcher. The error is
// a Faults value.
func LoadDispatcher(path string) (Dispatcher, error) { return loadDispatcher(readSource(path)) }

// LoadLessee reads and checks the settings file of a lessee. The error is a Faults
// value.
func LoadLessee(path string) (Lessee, error) { return loadLessee(readSource(path)) }

func loadDispatcher(s *source) (Dispatcher, error) {
	var d Dispatcher
	bind(s, &d)
	c := checker{s}
	c.role(d.Node, RoleDispatcher)
	c.leased(d.Store, d.Limits, d.Timing)
	c.peers(&Peers{Seeds: d.Peers.Seeds})
	for i, seed := range d.Peers.Seeds {
		d.Peers.Seeds[i] = netip.AddrPortFrom(seed.Addr(), d.Listen.Transport.Port())
	}
	c.transport(d.Listen.Transport)
	c.overload(d.Overload)
	c.distinct(d.Listen.Callers, "ready", d.Listen.Ready)
	c.distinct(d.Listen.Callers, "transport", d.Listen.Transport)
	c.distinct(d.Listen.Transport, "metrics", d.Listen.Metrics)
	return d, s.result()
}

func loadLessee(s *source) (Lessee, error) {
	var l Lessee
	bind(s, &l)
	c := checker{s}
	c.role(l.Node, RoleLessee)
	c.leased(l.Store, l.Limits, l.Timing)
	c.transport(l.Listen.Transport)
	c.require(connectable(l.Upstream.Address), "upstream", "address", "address %v is no address to connect to", l.Upstream.Address)
	c.distinct(l.Listen.Announcements, "transport", l.Listen.Transport)
	c.distinct(l.Listen.Transport, "metrics", l.Listen.Metrics)
	return l, s.result()
}

// leased checks the settings that dispatchers and lessees both have.
func (c checker) leased(s Store, l LeasedLimits, t LeasedTiming) {
	c.require(connectable(s.Address), "store", "address", "address %v is no address to connect to", s.Address)
	c.require(l.Memory > 0, "limits", "memory", "memory must not be 0")
	c.require(l.Body > 0, "limits", "body", "body must not be 0")
	c.positive(l.Connections, "connections")
	c.positive(l.OpenTasks, "open_tasks")
	c.require(l.BodyMemoryBytes() >= 2*int64(l.Body), "limits", "body_memory",
		"body_memory (by default a twelfth of memory) is %d bytes, less than twice the largest body of %d bytes", l.BodyMemoryBytes(), l.Body)
	delay := time.Duration(t.ReadinessDelay)
	c.require(t.Grace > delay, "timing", "grace", "grace %v is not longer than readiness_delay %v", t.Grace, delay)
}

// positive checks a key of the section limits that may be absent.
func (c checker) positive(n int, key string) {
	_, present := c.source.lines[name{"limits", key}]
	c.require(n > 0 || !present, "limits", key, "%s must not be 0", key)
}

// maxMinShare is the largest min_share: three priorities and the first one still get shares.
const maxMinShare = 0.25

func (c checker) overload(o Overload) {
	c.require(o.Predict || !o.RefuseLateStarts, "overload", "refuse_late_starts", "refuse_late_starts needs predict = true")
	c.require(o.MinShare <= maxMinShare, "overload", "min_share", "min_share %v is more than %v", o.MinShare, maxMinShare)
}
