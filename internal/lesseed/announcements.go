package lesseed

import (
	"context"
	"encoding/json"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
)

// queueAnnouncement queues an announcement for restoreAndPersist, in place of an older one
// that is still queued. The send never blocks: the queue has just been emptied, and only
// the goroutine of the loop adds to it.
func (d *Daemon) queueAnnouncement(a lessee.Announcement) {
	select {
	case <-d.toPersist:
	default:
	}
	d.toPersist <- a
}

// restoreAndPersist restores the announcement that an earlier incarnation of the agent
// has persisted, then persists new announcements for a later incarnation.
func (d *Daemon) restoreAndPersist(ctx context.Context) error {
	key := string(d.cfg.Settings.Node.ID)
	d.restoreAnnouncement(ctx, key)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.toPersist:
			for newer := true; newer; {
				var err error
				if a, newer, err = d.persistAnnouncement(ctx, key, a); err != nil {
					return err
				}
			}
		}
	}
}

// restoreAnnouncement reads the persisted announcement and posts it to the core. It does
// not retry: if the store is unavailable, the upstream's next announcement arrives before
// a retry would succeed.
func (d *Daemon) restoreAnnouncement(ctx context.Context, key string) {
	value, err := d.cfg.Platform.Upstreams.Get(ctx, key)
	if err != nil {
		d.logs.LogEvent("upstream_not_recalled", "", []any{"err", err})
		return
	}
	if len(value) == 0 {
		return
	}
	var a lessee.Announcement
	err = json.Unmarshal(value, &a)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		var log sitestore.IgnoredLog
		log.Log(d.logs, "upstreams", map[string]error{key: err})
		return
	}
	d.loop.Post(lessee.AnnouncementRestored{Announcement: a})
}

// persistAnnouncement writes an announcement to the store, and retries until that succeeds.
// If a newer announcement is queued first, it gives up and returns that one with ok set.
func (d *Daemon) persistAnnouncement(ctx context.Context, key string, a lessee.Announcement) (newer lessee.Announcement, ok bool, err error) {
	value, err := json.Marshal(a)
	if err != nil {
		return newer, false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		done <- sitestore.PutWithRetry(ctx, d.cfg.Platform.Upstreams, "upstream_note", key, value, d.logs)
	}()
	select {
	case err := <-done:
		return newer, false, err
	case newer := <-d.toPersist:
		cancel()
		return newer, true, <-done
	}
}
