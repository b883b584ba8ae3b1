package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/go-faster/errors"
	fastjson "github.com/segmentio/encoding/json"
	"github.com/sourcegraph/jsonrpc2"
)

// Methods of the notifications.
const (
	methodHello   = "hello"
	methodDeliver = "deliver"
	methodBye     = "bye"
)

const (
	// maxHelloBytes bounds the frames that are read before the peer's hello.
	maxHelloBytes = 4 << 10
	// keepBufferBytes is the largest buffer that is reused for the next frame.
	keepBufferBytes = 16 << 10
	// writeTimeout bounds the write of one frame.
	writeTimeout = 5 * time.Second
)

// Errors of the frame layer.
var (
	errFrameTooLarge = errors.New("frame exceeds the limit")
	errBadFrame      = errors.New("malformed frame")
)

// A notification is written as prefix, params, suffix. A frame that starts with
// deliverPrefix is decoded in one pass, without the generic decoder of jsonrpc2.
var (
	helloPrefix   = []byte(`{"jsonrpc":"2.0","method":"` + methodHello + `","params":`)
	deliverPrefix = []byte(`{"jsonrpc":"2.0","method":"` + methodDeliver + `","params":`)
	byePrefix     = []byte(`{"jsonrpc":"2.0","method":"` + methodBye + `","params":`)
	notifySuffix  = []byte(`}`)
)

// stream is a jsonrpc2.ObjectStream of frames with a length prefix in the format
// of jsonrpc2.VarintObjectCodec. It hands deliver notifications straight to
// onDeliver and all other objects to the jsonrpc2 connection.
type stream struct {
	conn      net.Conn
	onDeliver func(env *message.Envelope) error

	r       *bufio.Reader
	readBuf bytes.Buffer
	// maxRead is the limit of a frame's size, raised after the peer's hello.
	maxRead  atomic.Int64
	maxWrite int

	writeMu  sync.Mutex
	writeBuf bytes.Buffer

	bytesIn, bytesOut *atomic.Uint64
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, maxFrame int, in, out *atomic.Uint64) *stream {
	s := &stream{conn: conn, r: bufio.NewReader(conn), maxWrite: maxFrame, bytesIn: in, bytesOut: out}
	s.maxRead.Store(maxHelloBytes)
	return s
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		if nestsTooDeep(frame) {
			return errors.Wrapf(errBadFrame, "more than %d levels of nesting", maxNesting)
		}
		env, ok := decodeDeliver(frame)
		if !ok {
			return decodeObject(frame, v)
		}
		if err := s.onDeliver(env); err != nil {
			return err
		}
	}
}

// decodeObject decodes a frame that decodeDeliver does not handle.
func decodeObject(frame []byte, v any) error {
	if err := json.Unmarshal(frame, v); err != nil {
		return errors.Wrap(errBadFrame, err.Error())
	}
	return nil
}

// decodeDeliver decodes a deliver notification in the form that this package
// writes. It reports false for everything else.
func decodeDeliver(frame []byte) (*message.Envelope, bool) {
	if !bytes.HasPrefix(frame, deliverPrefix) || !bytes.HasSuffix(frame, notifySuffix) {
		return nil, false
	}
	env := &message.Envelope{}
	params := frame[len(deliverPrefix) : len(frame)-len(notifySuffix)]
	if err := fastjson.Unmarshal(params, env); err != nil {
		return nil, false
	}
	return env, true
}

// readFrame returns the next frame, valid until the next call. Memory grows only
// with the bytes that arrive, not with the length that the peer claims.
func (s *stream) readFrame() ([]byte, error) {
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return nil, err
	}
	if size > uint64(s.maxRead.Load()) {
		return nil, errors.Wrapf(errFrameTooLarge, "%d bytes to read", size)
	}
	if s.readBuf.Cap() > keepBufferBytes {
		s.readBuf = bytes.Buffer{}
	}
	s.readBuf.Reset()
	if _, err := io.CopyN(&s.readBuf, s.r, int64(size)); err != nil {
		return nil, err
	}
	s.bytesIn.Add(size)
	return s.readBuf.Bytes(), nil
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	return s.write(nil, obj, nil)
}

// notify writes one notification that starts with prefix.
func (s *stream) notify(prefix []byte, params any) error {
	return s.write(prefix, params, notifySuffix)
}

func (s *stream) write(prefix []byte, obj any, suffix []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	frame, err := encodeFrame(&s.writeBuf, prefix, obj, suffix)
	if err != nil {
		return err
	}
	if len(frame) > s.maxWrite {
		return errors.Wrapf(errFrameTooLarge, "%d bytes to write", len(frame))
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		return err
	}
	s.bytesOut.Add(uint64(len(frame)))
	if s.writeBuf.Cap() > keepBufferBytes {
		s.writeBuf = bytes.Buffer{}
	}
	return nil
}

// encodeFrame encodes prefix, obj and suffix with their total length in front. The
// result is valid until buf is changed.
func encodeFrame(buf *bytes.Buffer, prefix []byte, obj any, suffix []byte) ([]byte, error) {
	var header [binary.MaxVarintLen64]byte
	buf.Reset()
	buf.Write(header[:])
	buf.Write(prefix)
	enc := fastjson.NewEncoder(buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(obj); err != nil {
		return nil, err
	}
	buf.Truncate(buf.Len() - 1) // the newline that Encode adds
	buf.Write(suffix)

	frame := buf.Bytes()
	n := binary.PutUvarint(header[:], uint64(len(frame)-len(header)))
	start := len(header) - n
	copy(frame[start:], header[:n])
	return frame[start:], nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
