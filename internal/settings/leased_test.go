package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const dispatcherFile = `[node]
role = dispatcher
id = entry-1
domain = recife-a
[listen]
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
transport = 127.0.0.1:7200
metrics = 127.0.0.1:9464
[store]
address = 127.0.0.1:8169
[peers]
seeds = 127.0.0.1:1,127.0.0.1:2
[limits]
memory = 284MiB
`

const lesseeFile = `[node]
role = lessee
id = agent-1
domain = recife-a
[listen]
announcements = 127.0.0.1:9201
transport = 127.0.0.1:7201
metrics = 127.0.0.1:9465
[upstream]
address = 127.0.0.1:8090
[store]
address = 127.0.0.1:8169
`

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestLoadLeasedRoles checks values, defaults and the roles that Check finds, and that
// a seed gets the port of the dispatcher's own transport address.
func TestLoadLeasedRoles(t *testing.T) {
	d, err := LoadDispatcher(file(t, dispatcherFile))
	if err != nil || d.Limits.Memory != 284<<20 || len(d.Peers.Seeds) != 2 || d.Peers.Seeds[1].Port() != 7200 || d.Timing.Grace != 5*time.Second {
		t.Errorf("LoadDispatcher: got %+v, error %v, want memory 284MiB, 2 seeds on port 7200 and grace 5s", d, err)
	}
	l, err := LoadLessee(file(t, lesseeFile))
	if err != nil || l.Upstream.Address.Port() != 8090 {
		t.Errorf("LoadLessee: got %+v, error %v, want an upstream on port 8090", l, err)
	}
	for text, want := range map[string]Role{dispatcherFile: RoleDispatcher, lesseeFile: RoleLessee} {
		if role, err := Check(file(t, text)); role != want || err != nil {
			t.Errorf("Check: got role %q, error %v, want role %q", role, err, want)
		}
	}
}

func TestFaultsOfLeasedRoles(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"no address to connect to", "address = 127.0.0.1:8169", "address = 127.0.0.1:0", "no address to connect to"},
		{"two listeners", "ready = 127.0.0.1:8081", "ready = 127.0.0.1:8080", "another listener"},
		{"seed", "127.0.0.1:2", "0.0.0.0:2", "seed"},
		{"grace", "[limits]", "[timing]\ngrace = 1s\n[limits]", "not longer than readiness_delay"},
		{"unknown key", "[limits]", "[limits]\nfiles = 3", "unknown key files"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := LoadDispatcher(file(t, strings.Replace(dispatcherFile, tt.old, tt.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// TestLoadOverload checks that a dispatcher gets its settings for overload and placement, that
// all are off by default, and that values out of range are reported.
func TestLoadOverload(t *testing.T) {
	d, err := LoadDispatcher(file(t, dispatcherFile))
	if err != nil || d.Overload != (Overload{}) || d.Placement != (LeasedPlacement{}) {
		t.Errorf("defaults: got %+v and %+v, error %v, want all off", d.Overload, d.Placement, err)
	}
	d, err = LoadDispatcher(file(t, dispatcherFile+"[placement]\nlearn_speed = true\n[overload]\nuseful_factor = 2.5\npredict = true\nrefuse_late_starts = true\nmin_share = 0.1\n"))
	if want := (Overload{UsefulFactor: 2.5, Predict: true, RefuseLateStarts: true, MinShare: 0.1}); err != nil || d.Overload != want || !d.Placement.LearnSpeed {
		t.Errorf("got %+v and %+v, error %v, want %+v and learn_speed", d.Overload, d.Placement, err, want)
	}
	for _, bad := range []string{"useful_factor = 0.5", "useful_factor = NaN", "predict = yes", "refuse_late_starts = true", "min_share = 0.3"} {
		if _, err := LoadDispatcher(file(t, dispatcherFile+"[overload]\n"+bad+"\n")); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

// TestLoadLeasedUpstream checks that an agent lowers no capacity, and refuses nothing for failed
// polls, unless its settings say so.
func TestLoadLeasedUpstream(t *testing.T) {
	for text, want := range map[string]bool{"address = 127.0.0.1:8090": false, "address = 127.0.0.1:8090\nlearn_capacity = true\nrefuse_failing = true": true} {
		l, err := LoadLessee(file(t, strings.Replace(lesseeFile, "address = 127.0.0.1:8090", text, 1)))
		if err != nil || l.Upstream.LearnCapacity != want || l.Upstream.RefuseFailing != want {
			t.Errorf("%q: got %+v, error %v, want learn_capacity and refuse_failing %v", text, l.Upstream, err, want)
		}
	}
}

// TestLoadDrainConnections checks that a dispatcher stops as before unless its settings say so.
func TestLoadDrainConnections(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[timing]\ndrain_connections = true\n": true} {
		d, err := LoadDispatcher(file(t, dispatcherFile+text))
		if err != nil || d.Timing.DrainConnections != want {
			t.Errorf("%q: got %+v, error %v, want drain_connections %v", text, d.Timing, err, want)
		}
	}
}
