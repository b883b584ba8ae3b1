// Package lifecycle holds what the daemons share in starting and stopping.
package lifecycle

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/oklog/run"
)

// RandomNumber returns a nonzero random number.
func RandomNumber() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// Add adds an actor that ends with its context.
func Add(g *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

// Server accepts until it is closed.
type Server interface {
	Run() error
	Close() error
}

// Serve runs the actors and the servers of a daemon until leave returns or one
// of them fails, then calls kill. It returns the error of leave, unless another
// actor failed first.
func Serve(leave func() error, kill func(), actors []func(context.Context) error, servers ...Server) error {
	var g run.Group
	var left error
	g.Add(func() error {
		left = leave()
		return left
	}, func(error) { kill() })
	for _, actor := range actors {
		Add(&g, actor)
	}
	for _, s := range servers {
		g.Add(s.Run, func(error) { _ = s.Close() })
	}
	if err := g.Run(); err != nil {
		return err
	}
	// A kill may end another actor first.
	return left
}

// Bounded calls f with a context that ends after d.
func Bounded(d time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return f(ctx)
}

// Wait waits for d or until stop is closed. It reports whether d has passed.
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

// Signal is a state that is entered once. The zero value is not usable; see
// NewSignal. It is safe for concurrent use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// NewSignal returns a signal that has not been given.
func NewSignal() *Signal { return &Signal{c: make(chan struct{})} }

// Give enters the state. Further calls do nothing.
func (s *Signal) Give() { s.once.Do(func() { close(s.c) }) }

// Given is closed once the signal has been given.
func (s *Signal) Given() <-chan struct{} { return s.c }

// IsGiven reports whether the signal has been given.
func (s *Signal) IsGiven() bool {
	select {
	case <-s.c:
		return true
	default:
		return false
	}
}
