package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// standinStore is the project's stand-in of the store, which can be down. A call that arrives
// while it is down, or that would be answered then, is never answered; the connection returns
// nothing further.
type standinStore struct {
	topics *platform.StandinStore
	addr   string

	mu sync.Mutex
	// down is closed while the store is down.
	isDown bool
	down   chan struct{}
}

func newStandinStore(addr string) (*standinStore, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &standinStore{topics: platform.NewStandinStore(), addr: addr, down: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s.handlerFor("all")}).Serve(l) }()
	return s, nil
}

// handlerFor returns the handler for the calls of one process, or of all others.
func (s *standinStore) handlerFor(process string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(process, w, r) })
}

// setDown takes the store down, or brings it back.
func (s *standinStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.isDown {
		return
	}
	s.isDown = down
	if down {
		close(s.down)
	} else {
		s.down = make(chan struct{})
	}
}

func (s *standinStore) serve(process string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	answer := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-down:
		default:
			s.topics.HandlerFor(process).ServeHTTP(answer, r)
		}
	}()
	select {
	case <-down:
		<-r.Context().Done()
		return
	case <-done:
	}
	select {
	case <-down:
		<-r.Context().Done()
		return
	default:
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
