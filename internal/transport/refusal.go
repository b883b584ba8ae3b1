package transport

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"k8s.io/klog/v2"
)

// maxRefusalGap is the longest time between two refused connections that count as one series.
// After a longer one, such as a pause of this process, the peer may have been reachable
// meanwhile.
const maxRefusalGap = 3 * suspectDialPause

// refusals is a series of refused connections to one incarnation that nothing has refuted. In
// the zero value there is none.
type refusals struct {
	first, last time.Time
	// reported is true once the series has been reported as a lasting one.
	reported bool
}

// add records a refused connection, and reports whether the series has lasted for the limit
// for the first time.
func (r *refusals) add(now time.Time, limit time.Duration) bool {
	if now.Sub(r.last) > maxRefusalGap {
		r.first = now
	}
	r.last = now
	lasted := now.Sub(r.first) >= limit && !r.reported
	r.reported = r.reported || lasted
	return lasted
}

// undecided reports whether another refused connection may show that the series lasts.
func (r *refusals) undecided(now time.Time) bool {
	return !r.first.IsZero() && !r.reported && now.Sub(r.last) <= maxRefusalGap
}

// refused reports that the peer has refused a connection, and for how long it does.
func (l *link) refused() {
	l.suspect(liveness.Refused)
	if l.refusalLasts(time.Now()) {
		klog.Infof("transport: %s refuses connections for %v", l.ref, l.t.cfg.RefusalLimit)
		l.t.cfg.Handler.PeerSuspect(l.ref, liveness.RefusedLong)
	}
}

func (l *link) refusalLasts(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.t.cfg.RefusalLimit == 0 || len(l.conns) > 0 || l.ended() {
		return false
	}
	return l.refusals.add(now, l.t.cfg.RefusalLimit)
}

// endRefusals records that a connection was not refused.
func (l *link) endRefusals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = refusals{}
}

// emptyQueueAction returns what the sending goroutine does when no message waits: it dials a
// peer that refuses connections until it is known whether that lasts. Otherwise it waits until
// a connection may be idle.
func (l *link) emptyQueueAction(now time.Time, idleIn time.Duration) action {
	switch {
	case len(l.conns) > 0 || l.addr == "" || l.ended() || !l.refusals.undecided(now):
		return action{wait: idleIn}
	case l.nextDial.After(now):
		return action{wait: l.nextDial.Sub(now)}
	case l.t.cut(l.ref.ID):
		return action{wait: maxBackoff}
	default:
		return action{dial: l.addr}
	}
}
