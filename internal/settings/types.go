package settings

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Role is the role of the process that a settings file is for.
type Role string

// The roles of the processes on sites whose upstreams accept tasks over HTTP.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Size is a number of bytes, written as 512, 64KiB, 32MiB or 1GiB.
type Size int64

// Delay is a duration that may be 0s.
type Delay time.Duration

// OutageLimit is a duration, or noLimit, written as none.
type OutageLimit time.Duration

// noLimit is the OutageLimit of an agent that may start tasks during an outage of any
// length.
const noLimit OutageLimit = 0

// Entry holds the settings of an entry process.
type Entry struct {
	Node   Node        `ini:"node"`
	Listen EntryListen `ini:"listen"`
	Log    Log         `ini:"log"`
	Peers  Peers       `ini:"peers"`
	Access Access      `ini:"access"`
	TLS    TLS         `ini:"tls"`
	Limits EntryLimits `ini:"limits"`
	Timing EntryTiming `ini:"timing"`
	Policy Policy      `ini:"policy"`
	Trace  Trace       `ini:"trace"`
}

// Agent holds the settings of an agent process.
type Agent struct {
	Node    Node        `ini:"node"`
	Worker  Worker      `ini:"worker"`
	Listen  AgentListen `ini:"listen"`
	Log     Log         `ini:"log"`
	Peers   Peers       `ini:"peers"`
	Timing  AgentTiming `ini:"timing"`
	Records Records     `ini:"records"`
	Queue   Queue       `ini:"queue"`
	Policy  Policy      `ini:"policy"`
	Trace   Trace       `ini:"trace"`
}

// Node identifies the process and its failure domain.
type Node struct {
	Role Role `ini:"role,required"`
	// ID must be unique in the fleet and stable across restarts.
	ID     node.ID `ini:"id,required"`
	Domain string  `ini:"domain,required"`
}

// Worker names the host that the agent and its upstreams run on.
type Worker struct {
	Name string `ini:"name,required"`
}

// EntryListen holds the addresses that an entry listens on. Port 0 means any free port.
type EntryListen struct {
	// HTTP serves callers and operators.
	HTTP netip.AddrPort `ini:"http,required"`
	// Transport serves the other processes; peers connect to this address.
	Transport netip.AddrPort `ini:"transport,required"`
	// Metrics serves metrics, health and readiness.
	Metrics netip.AddrPort `ini:"metrics,required"`
}

// AgentListen holds the addresses that an agent listens on. Port 0 means any free port.
type AgentListen struct {
	// Transport serves the other processes; peers connect to this address.
	Transport netip.AddrPort `ini:"transport,required"`
	// Upstream serves the announcements of upstreams, metrics, health and
	// readiness.
	Upstream netip.AddrPort `ini:"upstream,required"`
}

// Log locates the platform's append-only log service.
type Log struct {
	Address netip.AddrPort `ini:"address,required"`
	Stream  string         `ini:"stream" default:"dogwoodgauge"`
}

// Peers lists the processes to ask for the configuration while the log service is
// down.
type Peers struct {
	// Seeds are transport addresses of agents.
	Seeds []netip.AddrPort `ini:"seeds"`
}

// Access configures who may hand over accepted changes.
type Access struct {
	// KeyFile is the file with the key that operators sign handovers with. Without it
	// the entry accepts no handover.
	KeyFile Path `ini:"key_file"`
}

// TLS makes the callers' interface serve TLS only. Both files are PEM files; the entry
// reads them again when they change.
type TLS struct {
	Certificate Path `ini:"certificate"`
	Key         Path `ini:"key"`
}

// EntryLimits bounds what callers may send.
type EntryLimits struct {
	// Memory is how much memory the host allows the process. The garbage collector keeps the
	// process below it.
	Memory Size `ini:"memory" default:"256MiB"`
	// BodyMemory bounds the memory of the large request bodies that the process holds at a time,
	// until they are answered. Without it, that is a twelfth of Memory.
	BodyMemory Size `ini:"body_memory"`
	// Body is the largest request body.
	Body Size `ini:"body" default:"8MiB"`
	// Connections is the largest number of open connections of callers. Without it, there is one for
	// every 256 KiB of Memory, up to 4096.
	Connections int `ini:"connections"`
	// HeaderTime is the longest time for a caller to send its header.
	HeaderTime time.Duration `ini:"header_time" default:"5s"`
}

// Timing holds the durations that every role has.
type Timing struct {
	// ClockBound is the largest difference between the wall clocks of any two
	// processes or callers.
	ClockBound time.Duration `ini:"clock_bound" default:"500ms"`
	// MaxTimeout is the longest timeout that a job may ask for.
	MaxTimeout time.Duration `ini:"max_timeout" default:"1m"`
	// Grace is the longest time from SIGTERM to the exit of the process.
	Grace time.Duration `ini:"grace" default:"75s"`
}

// BodyMemoryBytes returns the BodyMemory in bytes.
func (l EntryLimits) BodyMemoryBytes() int64 {
	return int64(cmp.Or(l.BodyMemory, l.Memory/bodyShare))
}

// MaxConnections returns the largest number of open connections.
func (l EntryLimits) MaxConnections() int {
	return connections(l.Connections, l.Memory, maxEntryConnections)
}

// EntryTiming holds the durations of an entry.
type EntryTiming struct {
	Timing
	// ReadinessDelay is how long an entry still accepts calls after SIGTERM while its
	// readiness check fails, so that the load balancer notices first. It is part of
	// Grace.
	ReadinessDelay Delay `ini:"readiness_delay" default:"2s"`
}

// AgentTiming holds the durations of an agent.
type AgentTiming struct {
	Timing
	// Lease is the duration of the freshness lease: how long evidence that the
	// configuration is current permits task starts.
	Lease time.Duration `ini:"lease" default:"2.5s"`
	// OutageLimit is how long confirmations by a majority of agents permit task starts
	// after the last read of the log, by this agent or a peer.
	OutageLimit OutageLimit `ini:"outage_limit" default:"none"`
}

// Records bounds the job records that an agent keeps in memory.
type Records struct {
	// Retention is how long the record and the answer of a job are kept.
	Retention time.Duration `ini:"retention" default:"5m"`
	// MaxRecords is the largest number of job records.
	MaxRecords int `ini:"max_records" default:"50000"`
	// MaxRecordBytes is the largest total size of the results in the job records.
	MaxRecordBytes Size `ini:"max_record_bytes" default:"32MiB"`
	// MaxOpenBytes is the largest total size of the payloads and labels of open jobs.
	MaxOpenBytes Size `ini:"max_open_bytes" default:"32MiB"`
}

// Queue bounds the tasks that wait at an agent for a slot.
type Queue struct {
	// Limit is the largest number of waiting tasks.
	Limit int `ini:"limit" default:"16"`
	// UrgentSlots is the number of slots that only urgent tasks may use.
	UrgentSlots int `ini:"urgent_slots" default:"1"`
}

// Placement is one of placement.Names.
type Placement string

// Policy names the policies of a process.
type Policy struct {
	// Placement selects the executor of a task, or at an entry the home of a
	// job without an ID.
	Placement Placement `ini:"placement" default:"local-first"`
}

// Path is the path of a file.
type Path string

// Exporter is the type of destination that traces are sent to.
type Exporter string

// The exporters.
const (
	ExporterOff  Exporter = "off"
	ExporterFile Exporter = "file"
	ExporterOTLP Exporter = "otlp"
)

// Trace configures which traces are kept and where they are sent.
type Trace struct {
	Exporter Exporter `ini:"exporter" default:"off"`
	// File is appended to when Exporter is ExporterFile.
	File Path `ini:"file"`
	// Endpoint is an OTLP/HTTP receiver, used when Exporter is ExporterOTLP.
	Endpoint netip.AddrPort `ini:"endpoint"`
	// Sampling is the fraction of new traces that is kept, from 0 to 1.
	Sampling float64 `ini:"sampling" default:"0.01"`
}
