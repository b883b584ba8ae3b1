package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// checker checks values against fixed limits and against the values of other keys. It
// records faults in source.
type checker struct{ source *source }

// require records a fault unless ok is true. The fault is at the line of the key, or of
// its section if the key is absent.
func (c checker) require(ok bool, section, key, format string, args ...any) {
	if ok {
		return
	}
	line, found := c.source.lines[name{section, key}]
	if !found {
		line = c.source.lines[name{section: section}]
	}
	c.source.addFault(line, fmt.Sprintf(format, args...))
}

func (c checker) entry(e *Entry) {
	c.role(e.Node, RoleEntry)
	c.timing(&e.Timing.Timing)
	c.readinessDelay(&e.Timing)
	c.require((e.TLS.Certificate == "") == (e.TLS.Key == ""), "tls", "certificate", "certificate and key are needed together")
	c.log(&e.Log)
	c.peers(&e.Peers)
	c.trace(&e.Trace)
	c.transport(e.Listen.Transport)
	c.distinct(e.Listen.HTTP, "transport", e.Listen.Transport)
	c.distinct(e.Listen.HTTP, "metrics", e.Listen.Metrics)
	c.distinct(e.Listen.Transport, "metrics", e.Listen.Metrics)
	c.require(e.Limits.Body <= job.MaxBodyBytes, "limits", "body", "body is larger than the limit of %d bytes", job.MaxBodyBytes)
	c.positive(e.Limits.Connections, "connections")
	c.require(e.Limits.BodyMemoryBytes() >= 2*int64(min(e.Limits.Body, job.MaxBodyBytes)), "limits", "body_memory",
		"body_memory (by default a twelfth of memory) is %d bytes, less than twice the largest body of %d bytes", e.Limits.BodyMemoryBytes(), e.Limits.Body)
}

func (c checker) agent(a *Agent) {
	c.role(a.Node, RoleAgent)
	c.timing(&a.Timing.Timing)
	c.log(&a.Log)
	c.peers(&a.Peers)
	c.trace(&a.Trace)
	c.transport(a.Listen.Transport)
	c.distinct(a.Listen.Transport, "upstream", a.Listen.Upstream)
	c.outageLimit(&a.Timing)
	c.records(a)
}

func (c checker) role(n Node, want Role) {
	c.require(n.Role == want || n.Role == "", "node", "role", "role = %s in a file that is read as settings of role %s", n.Role, want)
}

func (c checker) timing(t *Timing) {
	c.require(t.MaxTimeout <= job.MaxTimeout, "timing", "max_timeout", "max_timeout %v is longer than the limit of %v", t.MaxTimeout, job.MaxTimeout)
	c.require(t.Grace >= t.MaxTimeout, "timing", "grace", "grace %v is shorter than max_timeout %v, the longest timeout of a job", t.Grace, t.MaxTimeout)
}

func (c checker) outageLimit(t *AgentTiming) {
	limit := time.Duration(t.OutageLimit)
	c.require(t.OutageLimit == noLimit || limit >= t.Lease, "timing", "outage_limit", "outage_limit %v is shorter than lease %v", limit, t.Lease)
}

// readinessDelay checks that a call accepted at the end of the readiness delay still has
// max_timeout to complete before grace ends. It ignores a grace shorter than max_timeout,
// for which timing has already recorded a fault.
func (c checker) readinessDelay(t *EntryTiming) {
	delay := time.Duration(t.ReadinessDelay)
	c.require(t.Grace < t.MaxTimeout || t.Grace >= delay+t.MaxTimeout, "timing", "readiness_delay", "readiness_delay %v and max_timeout %v together are longer than grace %v", delay, t.MaxTimeout, t.Grace)
}

func (c checker) records(a *Agent) {
	minRetention := a.Timing.MaxTimeout + a.Timing.ClockBound
	c.require(a.Records.Retention >= minRetention, "records", "retention", "retention %v is shorter than max_timeout and clock_bound together, %v", a.Records.Retention, minRetention)
	c.require(a.Records.MaxRecords > 0, "records", "max_records", "max_records must not be 0")
	c.require(a.Records.MaxRecordBytes >= job.MaxBodyBytes, "records", "max_record_bytes", "max_record_bytes is smaller than the largest job of %d bytes", job.MaxBodyBytes)
	c.require(a.Records.MaxOpenBytes >= 2*job.MaxBodyBytes, "records", "max_open_bytes", "max_open_bytes is smaller than two of the largest jobs of %d bytes", job.MaxBodyBytes)
}

func (c checker) log(l *Log) {
	c.require(connectable(l.Address), "log", "address", "address %v is no address to connect to", l.Address)
}

func (c checker) peers(p *Peers) {
	for _, seed := range p.Seeds {
		c.require(connectable(seed), "peers", "seeds", "seed %v is no address to connect to", seed)
	}
}

func (c checker) transport(a netip.AddrPort) {
	c.require(!a.IsValid() || !a.Addr().IsUnspecified(), "listen", "transport", "transport %v is no address that peers can connect to", a)
}

func (c checker) distinct(a netip.AddrPort, key string, b netip.AddrPort) {
	c.require(!a.IsValid() || a.Port() == 0 || a != b, "listen", key, "%s has the address %v of another listener", key, b)
}

func (c checker) trace(t *Trace) {
	c.require(t.Exporter != ExporterFile || t.File != "", "trace", "exporter", "exporter = file needs the key file")
	c.require(t.Exporter != ExporterOTLP || t.Endpoint.IsValid(), "trace", "exporter", "exporter = otlp needs the key endpoint")
}

// connectable reports whether a has a port and an IP address that a process can connect
// to. It accepts an absent or malformed address, for which bind has recorded a fault.
func connectable(a netip.AddrPort) bool {
	return !a.IsValid() || a.Port() != 0 && !a.Addr().IsUnspecified()
}
