package lessee

import (
	"fmt"
	"strings"
	"time"
)

// Limits of the values of an Announcement.
const (
	// maxNameBytes bounds the ID, the service, the domain and each label.
	maxNameBytes = 256
	// maxLabels bounds the number of labels: dispatchers get them in heartbeats.
	maxLabels = 64
	// maxNumber bounds Incarnation and Seq: the integers that every JSON encoder keeps.
	maxNumber = 1 << 53
	// maxClock bounds the time since the start of an upstream.
	maxClock = 100 * 365 * 24 * time.Hour
)

// Check returns an error that names the first field outside its limits, or nil. Whoever
// receives or reads an announcement must check it.
func (a Announcement) Check() error {
	if a.ID == "" || strings.ContainsFunc(a.ID, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("the ID is %.32q; printable ASCII characters without spaces are expected", a.ID)
	}
	if a.Service == "" || a.Domain == "" {
		return fmt.Errorf("the service is %.32q and the domain %.32q; neither may be empty", a.Service, a.Domain)
	}
	if len(a.Labels) > maxLabels {
		return fmt.Errorf("it has %d labels; the limit is %d", len(a.Labels), maxLabels)
	}
	for _, name := range append([]string{a.ID, a.Service, a.Domain}, a.Labels...) {
		if len(name) > maxNameBytes {
			return fmt.Errorf("the name %.32q has %d bytes; the limit is %d", name, len(name), maxNameBytes)
		}
	}
	if min(a.Incarnation, a.Seq) < 0 || max(a.Incarnation, a.Seq) > maxNumber {
		return fmt.Errorf("the incarnation is %d and the number %d; both must be from 0 to %d", a.Incarnation, a.Seq, int64(maxNumber))
	}
	if a.Clock < 0 || a.Clock > maxClock {
		return fmt.Errorf("the clock is %v; it must be from 0 to %v", a.Clock, maxClock)
	}
	return a.Capacity.Check()
}
