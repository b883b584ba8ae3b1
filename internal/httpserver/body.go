package httpserver

import (
	"container/list"
	"io"
	"math"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
)

const (
	// bodyReadTimeout bounds the time in which a client must send a request body.
	bodyReadTimeout = 10 * time.Second
	// uncountedBodyBytes is the largest body that needs no BodyMemory. The limit of connections
	// bounds the memory of such bodies.
	uncountedBodyBytes = 16 << 10
	// minReceiveTime is how long a client may take for its body before it can lose its memory to
	// another one.
	minReceiveTime = time.Second
	// maxDecoders bounds the large bodies that are decoded at the same time. Their decoded form
	// may take several times the memory of the body.
	maxDecoders = 2
)

// BodyMemory bounds the memory of the large request bodies that a process holds. If it is used
// up, the body that has taken longest to arrive, and more than minReceiveTime, is refused;
// without such a body, the one that needs the memory is. It is safe for concurrent use.
type BodyMemory struct {
	decoders chan struct{}

	mu   sync.Mutex
	free int64
	// arriving holds the bodies that have memory and are not complete, in the order of their
	// first reservation.
	arriving list.List
}

// NewBodyMemory returns a BodyMemory of a size in bytes. It must be at least twice as large as
// the largest body, which is copied as it grows.
func NewBodyMemory(size int64) *BodyMemory {
	return &BodyMemory{free: size, decoders: make(chan struct{}, min(maxDecoders, runtime.GOMAXPROCS(0)))}
}

// body is a request body that is being received or decoded. BodyMemory.mu guards its fields.
type body struct {
	memory *BodyMemory
	// cut ends a Read of the body that waits.
	cut     func()
	since   time.Time
	held    int64
	evicted bool
	element *list.Element
}

// ErrNoMemory is the reason for refusing a body for which there is no memory, or whose client has
// gone while it waited to be decoded.
var ErrNoMemory error = &Error{Kind: errkind.NotRun, Detail: "the memory for request bodies is in use"}

// reserve reserves the memory for a buffer of size bytes in addition to what the body holds.
func (b *body) reserve(size int64) error {
	m := b.memory
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.free < size && m.evictLocked(b) {
	}
	if b.evicted || m.free < size {
		return ErrNoMemory
	}
	m.free -= size
	b.held += size
	if b.element == nil {
		b.element = m.arriving.PushBack(b)
	}
	return nil
}

// evictLocked takes the memory of the body that began first, unless that is b or it began just
// now. It reports whether there was one.
func (m *BodyMemory) evictLocked(b *body) bool {
	first := m.arriving.Front()
	if first == nil {
		return false
	}
	victim := first.Value.(*body)
	if victim == b || time.Since(victim.since) < minReceiveTime {
		return false
	}
	victim.evicted = true
	victim.releaseLocked(victim.held)
	m.arriving.Remove(first)
	victim.element = nil
	victim.cut()
	return true
}

// releaseLocked returns up to size bytes of what the body holds.
func (b *body) releaseLocked(size int64) {
	size = min(size, b.held)
	b.memory.free += size
	b.held -= size
}

func (b *body) release(size int64) {
	if b.memory == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.releaseLocked(size)
}

// complete records that the whole body has arrived, so that it is not evicted any more. It
// reports false if it already was.
func (b *body) complete() bool {
	if b.memory == nil {
		return true
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.element != nil {
		b.memory.arriving.Remove(b.element)
		b.element = nil
	}
	return !b.evicted
}

// bufferSizes is the number of sizes of buffers, from uncountedBodyBytes to 64 MiB.
const bufferSizes = 13

// buffers holds unused buffers by size, each twice as large as the one before. A crowd's bodies
// would otherwise be garbage faster than a busy host collects it.
var buffers [bufferSizes]sync.Pool

// buffer is a buffer for a body of up to size bytes, with one more for a Read that returns io.EOF.
type buffer struct {
	size  int64
	bytes []byte
	// pool takes the buffer back, or is nil.
	pool *sync.Pool
}

// newBuffer returns the buffer at an index of buffers, or a smaller one for a body of limit bytes.
func newBuffer(i int, limit int64) *buffer {
	size := int64(uncountedBodyBytes) << i
	if i >= bufferSizes || size > limit {
		size = min(size, limit)
		return &buffer{size: size, bytes: make([]byte, 0, size+1)}
	}
	if unused, ok := buffers[i].Get().(*buffer); ok {
		unused.bytes = unused.bytes[:0]
		return unused
	}
	return &buffer{size: size, bytes: make([]byte, 0, size+1), pool: &buffers[i]}
}

// free makes the buffer available again.
func (f *buffer) free() {
	if f.pool != nil {
		f.pool.Put(f)
	}
}

// receive reads a body of up to limit bytes from r. Announced is its length, or -1 if it is not
// known. The caller must free the buffer when it does not use the body any more.
func (b *body) receive(r io.Reader, announced, limit int64) (*buffer, error) {
	if announced >= 0 && announced <= uncountedBodyBytes {
		limit = announced
	}
	buf := newBuffer(0, limit)
	for i := 1; ; i++ {
		err := buf.fill(r)
		if !errors.Is(err, errBufferFull) {
			return buf, err
		}
		size := min(int64(uncountedBodyBytes)<<i, limit)
		if err := b.reserve(size); err != nil {
			return buf, err
		}
		grown := newBuffer(i, limit)
		grown.bytes = append(grown.bytes, buf.bytes...)
		if i > 1 {
			b.release(buf.size)
		}
		buf.free()
		buf = grown
	}
}

// errBufferFull is the error of fill if there may be more to read.
var errBufferFull = errors.New("the buffer is full")

// fill reads until the end of the body, or until the buffer is full.
func (f *buffer) fill(r io.Reader) error {
	for len(f.bytes) < cap(f.bytes) {
		n, err := r.Read(f.bytes[len(f.bytes):cap(f.bytes)])
		f.bytes = f.bytes[:len(f.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errBufferFull
}

// bodyMemoryKey is the key of the context's value that holds the BodyMemory of a server.
type bodyMemoryKey struct{}

// ReadBody reads a request body of at most limit bytes, calls use with it, and returns the error
// of use. The body is valid, and its memory counted, until use returns. The client must send the
// body within bodyReadTimeout. If it cannot be read, the error is an *Error, and the connection is
// closed after the answer.
func ReadBody(c echo.Context, limit int64, use func(body []byte) error) error {
	r := c.Request()
	response := http.NewResponseController(c.Response())
	if r.ContentLength > limit {
		return refuseBody(c, response, TooLarge("the body has %d bytes; the limit is %d", r.ContentLength, limit))
	}
	b := &body{since: time.Now(), cut: func() { _ = response.SetReadDeadline(time.Unix(1, 0)) }}
	b.memory, _ = r.Context().Value(bodyMemoryKey{}).(*BodyMemory)
	_ = response.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	buf, err := b.receive(http.MaxBytesReader(c.Response(), r.Body, limit), r.ContentLength, limit)
	defer buf.free()
	complete := b.complete()
	defer b.release(math.MaxInt64)
	var tooLarge *http.MaxBytesError
	switch {
	case !complete || errors.Is(err, ErrNoMemory):
		c.Response().Header().Set("Retry-After", "1")
		return refuseBody(c, response, ErrNoMemory)
	case errors.As(err, &tooLarge):
		return refuseBody(c, response, TooLarge("the body exceeds %d bytes", limit))
	case err != nil:
		return refuseBody(c, response, BadRequest("the body could not be read: %v", err))
	}
	if conn := connOf(r.Context()); conn != nil && !conn.enter(phaseHandling, phaseBody) {
		panic(http.ErrAbortHandler)
	}
	_ = response.SetReadDeadline(time.Time{})
	return use(buf.bytes)
}

// Decode calls decode, which decodes a body that was read by ReadBody, and returns its error. It
// waits while maxDecoders other large bodies are being decoded.
func Decode(c echo.Context, body []byte, decode func(body []byte) error) error {
	m, _ := c.Request().Context().Value(bodyMemoryKey{}).(*BodyMemory)
	if m == nil || len(body) <= uncountedBodyBytes {
		return decode(body)
	}
	select {
	case m.decoders <- struct{}{}:
	case <-c.Request().Context().Done():
		return ErrNoMemory
	}
	defer func() { <-m.decoders }()
	return decode(body)
}

// refuseBody makes the server close the connection after the answer without reading the rest of
// the body. It returns reason.
func refuseBody(c echo.Context, response *http.ResponseController, reason error) error {
	_ = response.SetReadDeadline(time.Unix(1, 0))
	c.Response().Header().Set(echo.HeaderConnection, "close")
	if conn := connOf(c.Request().Context()); conn != nil {
		conn.a.mu.Lock()
		conn.unread = true
		conn.a.mu.Unlock()
		conn.enter(phaseHandling, phaseBody)
	}
	return reason
}
