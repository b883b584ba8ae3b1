package sitestore

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// maxNameBytes bounds the ID and the domain of an agent.
const maxNameBytes = 256

// Agent is the record of an agent: its address, failure domain and newest incarnation.
type Agent struct {
	ID          node.ID          `json:"id"`
	Addr        netip.AddrPort   `json:"addr"`
	Domain      string           `json:"domain"`
	Incarnation node.Incarnation `json:"inc,omitempty"`
}

// Encode returns the value of the agent's record; its key is the agent's ID.
func (a Agent) Encode() []byte {
	value, err := json.Marshal(a)
	if err != nil {
		panic("cannot encode an agent record: " + err.Error())
	}
	return value
}

// DecodeAgents returns the agents in the newest records, in the order of their IDs. It leaves
// out records that name no agent to connect to, and returns the reason for each key.
func DecodeAgents(records map[string][]byte) (agents []Agent, ignored map[string]error) {
	ignored = make(map[string]error)
	for _, key := range slices.Sorted(maps.Keys(records)) {
		a, err := decodeAgent(key, records[key])
		if err != nil {
			ignored[key] = err
			continue
		}
		agents = append(agents, a)
	}
	return agents, ignored
}

// decodeAgent decodes the record under a key.
func decodeAgent(key string, value []byte) (Agent, error) {
	var a Agent
	if err := json.Unmarshal(value, &a); err != nil {
		return a, err
	}
	a.Addr = netip.AddrPortFrom(a.Addr.Addr().Unmap(), a.Addr.Port())
	switch ip := a.Addr.Addr(); {
	case string(a.ID) != key || key == "":
		return a, errors.Errorf("the record is of agent %.32q", string(a.ID))
	case max(len(key), len(a.Domain)) > maxNameBytes:
		return a, errors.Errorf("the ID has %d bytes and the domain %d; the limit is %d", len(key), len(a.Domain), maxNameBytes)
	case a.Addr.Port() == 0:
		return a, errors.New("the port is 0; it must be from 1 to 65535")
	case !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "":
		return a, errors.Errorf("the address %.64v is not that of one host", a.Addr)
	}
	return a, nil
}

// IgnoredLog logs records that are left out, each once as long as its reason stays the same.
// The zero value is ready for use, by one goroutine.
type IgnoredLog struct{ logged map[string]string }

// maxLoggedBytes bounds the part of a foreign text that a log line repeats.
const maxLoggedBytes = 256

// Log writes a line for each key that was not ignored for this reason before. The rate of the
// lines is limited.
func (l *IgnoredLog) Log(logs *telemetry.Logger, topic string, ignored map[string]error) {
	now := make(map[string]string, len(ignored))
	for _, key := range slices.Sorted(maps.Keys(ignored)) {
		text := ignored[key].Error()
		now[key] = text[:min(len(text), maxLoggedBytes)]
		if now[key] != l.logged[key] {
			logs.Info("record ignored", "topic", topic, "key", key[:min(len(key), maxLoggedBytes)], "reason", now[key])
		}
	}
	l.logged = now
}
