package agentd

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// Limits of an announcement's size and values.
const (
	maxAnnouncementBytes = 64 << 10
	// announcementMemory bounds the memory of large announcements.
	announcementMemory = 4 << 20
	maxNameBytes       = 128
	maxSlots           = 1 << 16
	maxConnections     = 1 << 16
	maxTTL             = 10 * time.Minute
)

// Announcement is the body of POST /v1/upstream.
type Announcement struct {
	Name string `json:"name"`
	// Addr is the IP:port on which the upstream accepts tasks.
	Addr string `json:"addr"`
	// Slots is the number of tasks that the upstream runs at the same time. It may
	// change with each renewal. With zero slots no further task starts there.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int       `json:"connections"`
	Labels      label.Set `json:"labels,omitempty"`
	// TTLMillis is the time in milliseconds after which the announcement lapses if the
	// upstream does not renew it.
	TTLMillis int64 `json:"ttl_ms"`
}

// check returns an *httpserver.Error that names the first invalid field, or nil.
func (a *Announcement) check() error {
	if a.Name == "" || len(a.Name) > maxNameBytes {
		return httpserver.BadRequest("name has %d bytes; it must have from 1 to %d", len(a.Name), maxNameBytes)
	}
	if addr, err := netip.ParseAddrPort(a.Addr); err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return httpserver.BadRequest("addr is %.64q; the IP and port of one host is expected, such as 127.0.0.1:8080", a.Addr)
	}
	if a.Slots < 0 || a.Slots > maxSlots {
		return httpserver.BadRequest("slots is %d; it must be from 0 to %d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return httpserver.BadRequest("connections is %d; it must be from 1 to %d", a.Connections, maxConnections)
	}
	if len(a.Labels) > job.MaxLabels {
		return httpserver.BadRequest("labels has %d items; the limit is %d", len(a.Labels), job.MaxLabels)
	}
	if a.TTLMillis < 1 || a.TTLMillis > maxTTL.Milliseconds() {
		return httpserver.BadRequest("ttl_ms is %d; it must be from 1 to %d", a.TTLMillis, maxTTL.Milliseconds())
	}
	return nil
}

func (a *Announcement) ttl() time.Duration {
	return time.Duration(a.TTLMillis) * time.Millisecond
}

// handler returns the handler of the agent's HTTP interface: announcements of
// upstreams, status, metrics and health.
func (d *Daemon) handler() http.Handler {
	e := httpserver.NewRouter(d.metrics)
	e.POST("/v1/upstream", d.announce)
	e.DELETE("/v1/upstream/:name", d.withdraw)
	e.GET("/v1/status", d.status)
	httpserver.AddHealthRoutes(e, d.Ready, d.WriteMetrics)
	return e
}

// announce handles POST /v1/upstream, by which an upstream announces itself or renews
// its announcement.
func (d *Daemon) announce(c echo.Context) error {
	var a Announcement
	err := httpserver.ReadBody(c, maxAnnouncementBytes, func(body []byte) error {
		return httpserver.Decode(c, body, func(body []byte) (err error) {
			a, err = DecodeAnnouncement(body)
			return err
		})
	})
	if err != nil {
		return err
	}
	if err := d.upstreams.set(a, d.loop.Mono()); err != nil {
		return err
	}
	d.loop.PostWait(agent.UpstreamAnnounced{
		Name:        a.Name,
		Slots:       a.Slots,
		Connections: a.Connections,
		Labels:      a.Labels,
		TTL:         a.ttl(),
	})
	return c.NoContent(http.StatusNoContent)
}

// DecodeAnnouncement parses and validates the body of an announcement. The error is
// an *httpserver.Error.
func DecodeAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	if err := httpserver.DecodeJSON(body, &a); err != nil {
		return Announcement{}, err
	}
	return a, a.check()
}

// withdraw handles DELETE /v1/upstream/NAME. It answers once no further task can
// start on the upstream. An unknown name is no error, so that a withdrawal can be
// repeated.
func (d *Daemon) withdraw(c echo.Context) error {
	name := c.Param("name")
	d.loop.PostWait(agent.UpstreamWithdrawn{Name: name})
	d.upstreams.remove(name)
	return c.NoContent(http.StatusNoContent)
}
