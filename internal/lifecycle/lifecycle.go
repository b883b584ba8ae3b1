// Package lifecycle has helpers with which the daemons start, serve and stop.
package lifecycle

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/oklog/run"
)

// RandomNumber returns a nonzero random number from a secure source.
func RandomNumber() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// AddActor adds an actor to g whose context is cancelled when the group stops.
func AddActor(g *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

// Server serves connections in Run until Close is called.
type Server interface {
	Run() error
	Close() error
}

// Serve runs leave, the actors and the servers of a daemon until one of them
// returns. It then calls kill and stops the others. It returns the error of leave,
// unless an actor or a server failed first.
func Serve(leave func() error, kill func(), actors []func(context.Context) error, servers ...Server) error {
	var g run.Group
	var left error
	g.Add(func() error {
		left = leave()
		return left
	}, func(error) { kill() })
	for _, actor := range actors {
		AddActor(&g, actor)
	}
	for _, s := range servers {
		g.Add(s.Run, func(error) { _ = s.Close() })
	}
	if err := g.Run(); err != nil {
		return err
	}
	// A kill may stop another actor first, which then returns without an error. The
	// error of leave counts in that case.
	return left
}

// WithTimeout calls f with a context that times out after d.
func WithTimeout(d time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return f(ctx)
}

// Wait waits for d or until stop is closed, and reports whether d has passed.
func Wait(d time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}

// Signal is a flag that is set once and never reset. It is safe for concurrent
// use. NewSignal creates one; the zero value is not usable.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// NewSignal returns a signal that is not set.
func NewSignal() *Signal { return &Signal{c: make(chan struct{})} }

// Set sets the signal. Further calls do nothing.
func (s *Signal) Set() { s.once.Do(func() { close(s.c) }) }

// Done returns a channel that is closed once the signal is set.
func (s *Signal) Done() <-chan struct{} { return s.c }

// IsSet reports whether the signal is set.
func (s *Signal) IsSet() bool {
	select {
	case <-s.c:
		return true
	default:
		return false
	}
}
