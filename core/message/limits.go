package message

import "fmt"

// Limits of the resources of one upstream or task. They exclude values that only a faulty
// writer states, and keep sums over a fleet or a backlog far from an overflow.
const (
	MaxMilliCPU     = 10_000_000
	MaxMemoryMB     = 1 << 30
	MaxAccelerators = 1 << 16
)

// Check returns an error that names the first resource outside its limits, or nil.
func (r Resources) Check() error {
	for _, x := range []struct {
		name         string
		value, limit int
	}{{"cpu", r.MilliCPU, MaxMilliCPU}, {"memory", r.MemoryMB, MaxMemoryMB}, {"accelerators", r.Accelerators, MaxAccelerators}} {
		if x.value < 0 || x.value > x.limit {
			return fmt.Errorf("%s is %d; it must be from 0 to %d", x.name, x.value, x.limit)
		}
	}
	return nil
}
