package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// author signs the changes of an experiment.
const author = "experiment"

// Change is a change that was appended to the log.
type Change struct {
	// Offset is the revision that the change makes.
	Offset int64
	// Accepted is when the log service had taken it.
	Accepted time.Time
}

// DomainOut takes a failure domain out and tells the ledger.
func (c *Cluster) DomainOut(ctx context.Context, domain string) (Change, error) {
	change, err := c.publish(ctx, config.Edit{Put: &config.Object{TakeOut: &config.TakeOut{Domain: domain}}})
	if err == nil {
		c.Ledger.RecordDomainOut(domain, change.Accepted)
	}
	return change, err
}

// DomainIn brings a failure domain back and tells the ledger.
func (c *Cluster) DomainIn(ctx context.Context, domain string) (Change, error) {
	c.Ledger.RecordDomainIn(domain)
	out := config.TakeOut{Domain: domain}
	key := out.Key()
	return c.publish(ctx, config.Edit{Delete: &key})
}

func (c *Cluster) publish(ctx context.Context, edit config.Edit) (Change, error) {
	from, err := c.revision(ctx)
	if err != nil {
		return Change{}, err
	}
	record := control.EncodeChange(control.Change{
		ID:     uuid.NewString(),
		From:   from,
		Author: author,
		Edits:  []config.Edit{edit},
	})
	offset, err := c.log.Append(ctx, settings.DefaultEntry().Log.Stream, record)
	if err != nil {
		return Change{}, err
	}
	return Change{Offset: offset, Accepted: time.Now()}, nil
}

// revision returns the highest revision that a process has.
func (c *Cluster) revision(ctx context.Context) (int64, error) {
	best, found := int64(0), false
	for _, o := range c.Observe(ctx) {
		if o.Synced && (!found || o.Revision > best) {
			best, found = o.Revision, true
		}
	}
	if !found {
		return 0, errors.New("no process has the configuration")
	}
	return best, nil
}

// SetRoutes publishes the routes.
func (c *Cluster) SetRoutes(ctx context.Context, routes config.Routes) (Change, error) {
	return c.publish(ctx, config.Edit{Put: &config.Object{Routes: &routes}})
}

// AwaitInForce waits until every process that answers has the change, and
// returns the time since it was accepted.
func (c *Cluster) AwaitInForce(ctx context.Context, change Change) (time.Duration, error) {
	for !c.inForce(ctx, change.Offset) {
		if !sleep(ctx, pollInterval) {
			return 0, errors.Wrap(ctx.Err(), "wait for a change to be in force")
		}
	}
	return time.Since(change.Accepted), nil
}

// AwaitEverywhere waits until every process has the change, and returns the time
// from its acceptance to the look at the last of them.
func (c *Cluster) AwaitEverywhere(ctx context.Context, change Change) (time.Duration, error) {
	left := c.looks()
	for {
		left = slices.DeleteFunc(left, func(l look) bool {
			o, err := l(ctx)
			return err == nil && o.Revision >= change.Offset
		})
		if len(left) == 0 {
			return time.Since(change.Accepted), nil
		}
		if !sleep(ctx, pollInterval) {
			return 0, errors.Wrapf(ctx.Err(), "%d processes lack a change", len(left))
		}
	}
}

func (c *Cluster) inForce(ctx context.Context, revision int64) bool {
	for _, r := range c.Observe(ctx) {
		if r.Revision < revision {
			return false
		}
	}
	return true
}
