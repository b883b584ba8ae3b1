package process

// heapShare is the share of a process's memory that the Go heap and runtime may use
// before the garbage collector runs more often. The rest is for sockets, thread stacks
// and the program itself.
const heapShare = 0.6

// otherBytes is the memory of a process that the Go runtime does not count, as far as it does not
// depend on the limit: the program itself and the buffers of some hundred sockets.
const otherBytes = 40 << 20

// HeapLimit returns the soft memory limit of the Go runtime for a process that may use
// limit bytes in total.
func HeapLimit(limit int64) int64 {
	return max(min(int64(float64(limit)*heapShare), limit-otherBytes), limit/4)
}
