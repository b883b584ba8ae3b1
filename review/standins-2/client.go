package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// jobStep is a step of a submission.
type jobStep struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	EstimateMs int64 `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// submission is the body of a POST.
type submission struct {
	TaskSpec   string    `json:"taskSpec"`
	Steps      []jobStep `json:"steps"`
	BestEffort bool      `json:"bestEffort"`
}

// chain returns a job of several steps, each after the one before it.
func chain(steps, tasks int, work time.Duration) submission {
	spec, err := json.Marshal(platform.StandinTask{Duration: work})
	if err != nil {
		panic(err)
	}
	s := submission{TaskSpec: string(spec), BestEffort: true}
	for i := range steps {
		step := jobStep{Count: tasks, CPU: 3000, MemMB: 64, EstimateMs: work.Milliseconds()}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// call sends one request on a connection of its own and returns the status and the body, or
// zero and the error.
func call(method, addr, path string, body any, wait time.Duration) (int, string) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(string(raw)))
	if err != nil {
		panic(err)
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	var text strings.Builder
	buf := make([]byte, 512)
	for {
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			return resp.StatusCode, text.String()
		}
	}
}

// ingress is the platform's address for clients. It forwards each connection to one front, and
// can reset those that are open.
type ingress struct {
	addr string
	to   string

	mu    sync.Mutex
	conns []net.Conn
}

func newIngress(addr, to string) (*ingress, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	in := &ingress{addr: addr, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go in.forward(c)
		}
	}()
	return in, nil
}

func (in *ingress) forward(client net.Conn) {
	front, err := net.DialTimeout("tcp", in.to, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	in.mu.Lock()
	in.conns = append(in.conns, client, front)
	in.mu.Unlock()
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pipe(front, client)
	pipe(client, front)
}

// reset resets all open connections at both ends and returns their number.
func (in *ingress) reset() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, c := range in.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	n := len(in.conns) / 2
	in.conns = nil
	return n
}
