package process

// heapShare is the share of a process's memory that the Go heap and runtime may use
// before the garbage collector runs more often. The rest is for sockets, thread stacks
// and the program itself.
const heapShare = 0.6

const (
	// otherBytes is the memory of a process that the Go runtime does not count, without the sockets
	// of clients: mainly the program itself.
	otherBytes = 40 << 20
	// receivedBytes is the memory for what the kernel has received on a connection and the process
	// has not read.
	receivedBytes = 48 << 10
)

// HeapLimit returns the soft memory limit of the Go runtime for a process that may use
// limit bytes in total and has up to this number of connections of clients.
func HeapLimit(limit int64, connections int) int64 {
	rest := limit - otherBytes - int64(connections)*receivedBytes
	return max(min(int64(float64(limit)*heapShare), rest), limit/4)
}
