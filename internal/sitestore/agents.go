package sitestore

import (
	"encoding/json"
	"net/netip"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

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

// DecodeAgents returns the agents in the newest records. It skips malformed records and
// returns their keys.
func DecodeAgents(records map[string][]byte) (agents []Agent, malformed []string) {
	for key, value := range records {
		var a Agent
		if err := json.Unmarshal(value, &a); err != nil || a.ID == "" || !a.Addr.IsValid() {
			malformed = append(malformed, key)
			continue
		}
		agents = append(agents, a)
	}
	return agents, malformed
}
