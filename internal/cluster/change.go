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

// author is the author written into every change that a cluster publishes.
const author = "experiment"

// Change identifies a configuration change that was appended to the log.
type Change struct {
	// Offset is the log offset of the change and the configuration revision that
	// it creates.
	Offset int64
	// AcceptedAt is the time at which the log service acknowledged the append.
	AcceptedAt time.Time
}

// TakeOutDomain takes a failure domain out and, once the log service has accepted
// the change, records the time of acceptance in the ledger.
func (c *Cluster) TakeOutDomain(ctx context.Context, domain string) (Change, error) {
	change, err := c.publish(ctx, config.Edit{Put: &config.Object{TakeOut: &config.TakeOut{Domain: domain}}})
	if err == nil {
		c.Ledger.RecordDomainOut(domain, change.AcceptedAt)
	}
	return change, err
}

// BringBackDomain records in the ledger that a failure domain is no longer taken
// out, and then publishes the change that brings it back. In this order the ledger
// cannot count a permitted start as late.
func (c *Cluster) BringBackDomain(ctx context.Context, domain string) (Change, error) {
	c.Ledger.RecordDomainIn(domain)
	out := config.TakeOut{Domain: domain}
	key := out.Key()
	return c.publish(ctx, config.Edit{Delete: &key})
}

// publish appends one edit to the log, based on the highest revision that any
// process has applied.
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
	offset, err := c.operatorLog.Append(ctx, settings.DefaultEntry().Log.Stream, record)
	if err != nil {
		return Change{}, err
	}
	return Change{Offset: offset, AcceptedAt: time.Now()}, nil
}

// revision returns the highest configuration revision that any process has
// applied.
func (c *Cluster) revision(ctx context.Context) (int64, error) {
	highest, found := int64(0), false
	for _, o := range c.Observe(ctx) {
		if o.Synced && (!found || o.Revision > highest) {
			highest, found = o.Revision, true
		}
	}
	if !found {
		return 0, errors.New("no observed process has loaded the configuration")
	}
	return highest, nil
}

// SetRoutes publishes a change that replaces all routes of the configuration.
func (c *Cluster) SetRoutes(ctx context.Context, routes config.Routes) (Change, error) {
	return c.publish(ctx, config.Edit{Put: &config.Object{Routes: &routes}})
}

// AwaitInForce waits until every process that runs has applied the change, and
// returns the time since the change was accepted. It does not wait for processes
// that are stopped or paused.
func (c *Cluster) AwaitInForce(ctx context.Context, change Change) (time.Duration, error) {
	for !c.inForce(ctx, change.Offset) {
		if !sleep(ctx, pollInterval) {
			return 0, errors.Wrap(ctx.Err(), "wait until every process that answers has applied a change")
		}
	}
	return time.Since(change.AcceptedAt), nil
}

// AwaitAppliedEverywhere waits until every process has applied the change, and
// returns the time from its acceptance to the observation of the last process.
func (c *Cluster) AwaitAppliedEverywhere(ctx context.Context, change Change) (time.Duration, error) {
	pending := c.observers()
	for {
		pending = slices.DeleteFunc(pending, func(o observer) bool {
			observed, err := o.observe(ctx)
			return err == nil && observed.Revision >= change.Offset
		})
		if len(pending) == 0 {
			return time.Since(change.AcceptedAt), nil
		}
		if !sleep(ctx, pollInterval) {
			return 0, errors.Wrapf(ctx.Err(), "%d processes have not applied a change", len(pending))
		}
	}
}

// inForce reports whether processes run and every one of them has applied the
// revision.
func (c *Cluster) inForce(ctx context.Context, revision int64) bool {
	all := c.Observe(ctx)
	for _, o := range all {
		if o.Revision < revision {
			return false
		}
	}
	return len(all) > 0 && ctx.Err() == nil
}
