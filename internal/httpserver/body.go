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

// errNoMemory is the reason for refusing a body for which there is no memory.
var errNoMemory = &Error{Kind: errkind.NotRun, Detail: "the memory for request bodies is in use"}

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
		return errNoMemory
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

// firstBuffers holds the first buffers of bodies that may become large. Most of a crowd's bodies
// are refused when they need a second one.
var firstBuffers = sync.Pool{New: func() any { return new([uncountedBodyBytes + 1]byte) }}

// receive reads a body from r. Announced is its length, or -1 if it is not known. The caller must
// call free when it does not use the body any more.
func (b *body) receive(r io.Reader, announced int64) (raw []byte, free func(), err error) {
	if announced >= 0 && announced <= uncountedBodyBytes {
		// The last byte is for a Read that returns io.EOF.
		raw, err = b.fill(make([]byte, 0, announced+1), r, announced)
		return raw, func() {}, err
	}
	first := firstBuffers.Get().(*[uncountedBodyBytes + 1]byte)
	raw, err = b.fill(first[:0], r, announced)
	return raw, func() { firstBuffers.Put(first) }, err
}

// fill reads a body into buf, or a larger copy of it.
func (b *body) fill(buf []byte, r io.Reader, announced int64) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			grown, err := b.grow(buf, announced)
			if err != nil {
				return nil, err
			}
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger copy of buf.
func (b *body) grow(buf []byte, announced int64) ([]byte, error) {
	size := int64(2 * cap(buf))
	if announced >= 0 {
		size = min(size, announced+1)
	}
	if size > uncountedBodyBytes+1 {
		if err := b.reserve(size); err != nil {
			return nil, err
		}
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	if cap(buf) > uncountedBodyBytes+1 {
		b.release(int64(cap(buf)))
	}
	return grown, nil
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
	raw, free, err := b.receive(http.MaxBytesReader(c.Response(), r.Body, limit), r.ContentLength)
	defer free()
	complete := b.complete()
	defer b.release(math.MaxInt64)
	var tooLarge *http.MaxBytesError
	switch {
	case !complete || errors.Is(err, errNoMemory):
		c.Response().Header().Set("Retry-After", "1")
		return refuseBody(c, response, errNoMemory)
	case errors.As(err, &tooLarge):
		return refuseBody(c, response, TooLarge("the body exceeds %d bytes", limit))
	case err != nil:
		return refuseBody(c, response, BadRequest("the body could not be read: %v", err))
	}
	if conn := connOf(r.Context()); conn != nil && !conn.enter(phaseHandling, phaseBody) {
		panic(http.ErrAbortHandler)
	}
	_ = response.SetReadDeadline(time.Time{})
	return use(raw)
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
		return errNoMemory
	}
	defer func() { <-m.decoders }()
	return decode(body)
}

// refuseBody makes the server close the connection after the answer without reading the rest of
// the body. It returns reason.
func refuseBody(c echo.Context, response *http.ResponseController, reason *Error) error {
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
