package lesseed

import (
	"context"
	"encoding/json"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
)

// note hands an announcement to remember, in place of one that waits there. Only the
// loop calls it, so that there is room after the one that waited has been taken.
func (d *Daemon) note(a lessee.Announcement) {
	select {
	case <-d.notes:
	default:
	}
	d.notes <- a
}

// remember takes up what an earlier run of the agent has noted of the upstream, and
// notes announcements for a later one.
func (d *Daemon) remember(ctx context.Context) error {
	key := string(d.cfg.Settings.Node.ID)
	d.recall(ctx, key)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.notes:
			for newer := true; newer; {
				var err error
				if a, newer, err = d.keepNote(ctx, key, a); err != nil {
					return err
				}
			}
		}
	}
}

// recall reads the note. It is tried once: while the store is away the next
// announcement comes first.
func (d *Daemon) recall(ctx context.Context, key string) {
	value, err := d.cfg.Platform.Upstreams.Get(ctx, key)
	if err != nil {
		d.logs.LogEvent("upstream_not_recalled", "", []any{"err", err})
		return
	}
	if len(value) == 0 {
		return
	}
	var a lessee.Announcement
	if err := json.Unmarshal(value, &a); err != nil {
		d.logs.Error(err, "the note of the upstream can't be read")
		return
	}
	d.loop.Post(lessee.AnnouncementRestored{Announcement: a})
}

// keepNote writes a note until that has succeeded or there is a newer one, which it
// returns.
func (d *Daemon) keepNote(ctx context.Context, key string, a lessee.Announcement) (newer lessee.Announcement, ok bool, err error) {
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
	case newer := <-d.notes:
		cancel()
		return newer, true, <-done
	}
}
