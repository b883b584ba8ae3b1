package experiment

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// Scenario describes a site and its mix of jobs.
type Scenario struct {
	Name string
	// LinkDelay is the one-way delay between failure domains. ClientDelay is the
	// one-way delay between clients and entries.
	LinkDelay, ClientDelay time.Duration
	Mix                    loadgen.Mix
}

// Sizes of the clusters of all scenarios.
const (
	siteEntries     = 3
	siteAgents      = 11
	siteDomains     = 3
	siteRackSize    = 3
	siteSlots       = 8
	siteConnections = 64
)

var scenarios = []Scenario{
	{
		Name:        "pettigrew",
		LinkDelay:   1500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Mix: loadgen.Mix{
			{
				Name: "currency-check", Team: "dispatch", Class: job.Urgent, Weight: 80,
				MinTasks: 1, MaxTasks: 1, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: 500 * time.Millisecond,
				Timeout: 5 * time.Second, Idempotent: true,
			},
			{
				Name: "session-close", Team: "training", Class: job.Normal, Weight: 15,
				MinTasks: 2, MaxTasks: 20, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: time.Second,
				LongTaskShare: 0.01, LongTaskDuration: 3 * time.Second, Timeout: 20 * time.Second,
			},
			{
				Name: "certificate-audit", Team: "audit", Class: job.Batch, Weight: 2,
				MinTasks: 30, MaxTasks: 150, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: time.Second,
				LongTaskShare: 0.02, LongTaskDuration: 5 * time.Second, Timeout: 40 * time.Second, Idempotent: true,
			},
		},
	},
	{
		Name:        "quitanda",
		LinkDelay:   time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
		Mix: loadgen.Mix{
			{
				Name: "stock-check", Team: "shop", Class: job.Urgent, Weight: 60,
				MinTasks: 1, MaxTasks: 4, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: 300 * time.Millisecond,
				Timeout: 3 * time.Second, Idempotent: true,
			},
			{
				Name: "checkout", Team: "shop", Class: job.Urgent, Weight: 20,
				MinTasks: 1, MaxTasks: 1, MinTaskDuration: 100 * time.Millisecond, MaxTaskDuration: time.Second,
				Timeout: 8 * time.Second,
			},
			{
				Name: "delivery-slot", Team: "riders", Class: job.Urgent, Weight: 15,
				MinTasks: 1, MaxTasks: 1, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: 500 * time.Millisecond,
				Timeout: 5 * time.Second,
			},
			{
				Name: "price-update", Team: "shop", Class: job.Batch, Weight: 2,
				MinTasks: 30, MaxTasks: 200, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: 500 * time.Millisecond,
				LongTaskShare: 0.02, LongTaskDuration: 4 * time.Second, Timeout: 40 * time.Second, Idempotent: true,
			},
		},
	},
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	names := make([]string, len(scenarios))
	for i := range scenarios {
		names[i] = scenarios[i].Name
	}
	return names
}

func findScenario(name string) (Scenario, bool) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}
