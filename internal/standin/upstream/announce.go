package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

const (
	// announceTimeout bounds one request to the agent.
	announceTimeout = 2 * time.Second
	// announceRetryDelay is the longest delay before a failed announcement is repeated.
	announceRetryDelay = 100 * time.Millisecond
	// stopTimeout bounds the time that Run needs to withdraw and to complete the tasks
	// in progress.
	stopTimeout = 30 * time.Second
)

// Announcement is the body of POST /v1/upstream.
type Announcement struct {
	Name        string    `json:"name"`
	Addr        string    `json:"addr"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Labels      label.Set `json:"labels,omitempty"`
	// TTLMillis is how long the announcement is valid, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// announcer is the goroutine that renews an announcement, from Announce to Withdraw.
type announcer struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// stop ends the renewal and waits for a request in flight. It does not cancel this
// request, because the agent could still process it after the withdrawal. stop does
// nothing on a nil announcer.
func (a *announcer) stop() {
	if a == nil {
		return
	}
	a.cancel()
	<-a.done
}

// Announce starts to announce the upstream to its agent. It can be called again
// after Withdraw.
func (u *Upstream) Announce() {
	if u.cfg.Agent == "" {
		return
	}
	ctx, cancel := context.WithCancel(u.ctx)
	next := &announcer{cancel: cancel, done: make(chan struct{})}
	u.replaceAnnouncer(next).stop()
	go u.announceLoop(ctx, next.done)
}

// replaceAnnouncer sets the announcer and returns the previous one.
func (u *Upstream) replaceAnnouncer(next *announcer) *announcer {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.announcer
	u.announcer = next
	return previous
}

// announceLoop announces every third of the TTL, sooner after a failure, until ctx
// is done. Then it closes done.
func (u *Upstream) announceLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		delay := u.cfg.TTL / 3
		if err := u.announceOnce(u.ctx); err != nil {
			klog.V(1).Infof("standin: upstream %s: announcement to the agent failed: %v", u.cfg.Name, err)
			delay = min(delay, announceRetryDelay)
		}
		sleep(ctx, delay)
	}
}

// sleep reports false if ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// announcedSlots returns the number of slots to announce.
func (u *Upstream) announcedSlots() int {
	f := u.currentFaults()
	switch {
	case f.NoSlots:
		return 0
	case f.AnnouncedSlots > 0:
		return f.AnnouncedSlots
	default:
		return u.cfg.Slots
	}
}

// announceOnce sends one announcement to the agent.
func (u *Upstream) announceOnce(ctx context.Context) error {
	body, err := json.Marshal(Announcement{
		Name:        u.cfg.Name,
		Addr:        u.Addr(),
		Slots:       u.announcedSlots(),
		Connections: u.cfg.Connections,
		Labels:      u.cfg.Labels,
		TTLMillis:   u.cfg.TTL.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return u.sendToAgent(ctx, http.MethodPost, "/v1/upstream", body)
}

// Withdraw withdraws the announcement from the agent. The upstream continues to
// serve tasks.
func (u *Upstream) Withdraw(ctx context.Context) error {
	if u.cfg.Agent == "" {
		return nil
	}
	u.replaceAnnouncer(nil).stop()
	return u.sendToAgent(ctx, http.MethodDelete, "/v1/upstream/"+url.PathEscape(u.cfg.Name), nil)
}

// sendToAgent sends one request to the agent and expects a 2xx status.
func (u *Upstream) sendToAgent(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.cfg.Agent+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("agent answered %d to %s %s", resp.StatusCode, method, path)
	}
	return nil
}
