package logservice

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/labstack/echo/v4"
)

const (
	// maxWait bounds how long a read waits for records.
	maxWait = time.Minute
	// maxLimit bounds the number of records that a read returns.
	maxLimit = 10000
	// maxBody bounds the body of an append, in bytes.
	maxBody = 16 << 20
)

// injectFaults applies the delay and the outage before a request is handled.
func (s *Service) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		delay := s.faults.Delay
		s.mu.Unlock()
		if delay > 0 && !sleep(c.Request().Context(), delay) {
			return nil
		}
		if s.inOutage() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

// sleep reports false if ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Service) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

func (s *Service) handleAppend(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	var req logclient.AppendRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	offset, loseReply, ok := s.append(c.Param("stream"), req.Record)
	if !ok {
		return c.NoContent(http.StatusTooManyRequests)
	}
	if loseReply {
		// Closes the connection without a reply.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, logclient.AppendResult{Offset: offset})
}

// append adds a record. loseReply reports whether to close the connection without
// a reply; ok is false if the append rate is exceeded and nothing was added.
func (s *Service) append(name string, record []byte) (offset int64, loseReply, ok bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.takeToken(now) {
		return 0, false, false
	}
	st := s.stream(name)
	offset = st.append(record, now)
	st.retain(s.cfg.MaxRecords, s.cfg.MaxAge, now)
	s.appends++
	return offset, s.faults.LoseReplies, true
}

// takeToken reports whether the append rate allows an append now. It is a token
// bucket that holds at most the tokens of one second.
func (s *Service) takeToken(now time.Time) bool {
	rate := float64(s.faults.AppendsPerSecond)
	if rate == 0 {
		return true
	}
	s.appendTokens = min(rate, s.appendTokens+rate*now.Sub(s.tokensRefilledAt).Seconds())
	s.tokensRefilledAt = now
	if s.appendTokens < 1 {
		return false
	}
	s.appendTokens--
	return true
}

// stream returns a stream and creates it if it does not exist.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	From   int64 `query:"from"`
	Max    int   `query:"max"`
	WaitMs int64 `query:"wait_ms"`
}

func (s *Service) handleRead(c echo.Context) error {
	var q readQuery
	if err := c.Bind(&q); err != nil {
		return err
	}
	limit := q.Max
	if limit <= 0 || limit > maxLimit {
		limit = maxLimit
	}
	wait := min(time.Duration(q.WaitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	for {
		result, changed := s.read(c.Param("stream"), q.From, limit)
		if len(result.Records) > 0 || result.From > q.From || !waitForChange(ctx, changed) {
			return c.JSON(http.StatusOK, result)
		}
		if s.inOutage() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

// waitForChange reports false if ctx ended before changed was closed.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}

// read returns up to limit records, and a channel that is closed when waiting
// reads must check the stream and the faults again.
func (s *Service) read(name string, from int64, limit int) (logclient.ReadResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.retain(s.cfg.MaxRecords, s.cfg.MaxAge, time.Now())
	first, records := st.read(from, limit)
	result := logclient.ReadResult{From: first, Records: records, End: st.end(), Oldest: st.oldest}
	return result, st.changed
}
