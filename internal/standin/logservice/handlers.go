package logservice

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/labstack/echo/v4"
)

const (
	// maxWait bounds the wait of a read.
	maxWait = time.Minute
	// maxLimit bounds the records of a read.
	maxLimit = 10000
	// maxBody bounds an append.
	maxBody = 16 << 20
)

// faulty applies the delay and the outage before a request is handled.
func (s *Service) faulty(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		delay := s.faults.Delay
		s.mu.Unlock()
		if delay > 0 && !sleep(c.Request().Context(), delay) {
			return nil
		}
		if s.outage() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

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

func (s *Service) outage() bool {
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
	offset, lost, ok := s.append(c.Param("stream"), req.Record)
	if !ok {
		return c.NoContent(http.StatusTooManyRequests)
	}
	if lost {
		// Cuts the connection without a reply.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, logclient.AppendResult{Offset: offset})
}

// append adds a record. It reports whether the reply is to be lost, and whether
// the rate allowed the append.
func (s *Service) append(name string, record []byte) (offset int64, lost, ok bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allow(now) {
		return 0, false, false
	}
	st := s.stream(name)
	offset = st.append(record, now)
	st.retain(s.cfg.MaxRecords, s.cfg.MaxAge, now)
	s.appends++
	return offset, s.faults.LoseReplies, true
}

// allow takes one token of the append rate; up to a second's worth gather.
func (s *Service) allow(now time.Time) bool {
	rate := float64(s.faults.AppendsPerSecond)
	if rate == 0 {
		return true
	}
	s.tokens = min(rate, s.tokens+rate*now.Sub(s.refilled).Seconds())
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// stream returns a stream, made if it is new.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// readQuery is the query of a read.
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
		if len(result.Records) > 0 || result.From > q.From || !waitChange(ctx, changed) {
			return c.JSON(http.StatusOK, result)
		}
		if s.outage() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

func waitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}

func (s *Service) read(name string, from int64, limit int) (logclient.ReadResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.retain(s.cfg.MaxRecords, s.cfg.MaxAge, time.Now())
	first, records := st.read(from, limit)
	result := logclient.ReadResult{From: first, Records: records, End: st.end(), Oldest: st.oldest}
	return result, st.changed
}
