package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

const examples = "../../examples/"

const validEntry = `[node]
role = entry
id = e1
domain = d1
[listen]
http = 127.0.0.1:1
transport = 127.0.0.1:2
metrics = 127.0.0.1:3
[log]
address = 127.0.0.1:4
`

const validAgent = `[node]
role = agent
id = a1
domain = d1
[worker]
name = w1
[listen]
transport = 127.0.0.1:2
upstream = 127.0.0.1:3
[log]
address = 127.0.0.1:4
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// lines returns "line: reason" for each fault.
func lines(t *testing.T, err error) []string {
	t.Helper()
	if err == nil {
		return nil
	}
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got an error of type %T, want Faults", err)
	}
	var all []string
	for _, f := range faults {
		all = append(all, fmt.Sprintf("%d: %s", f.Line, f.Reason))
	}
	return all
}

func TestExamplesLoad(t *testing.T) {
	entry, err := LoadEntry(examples + "entry.ini")
	if err != nil {
		t.Error(err)
	}
	if entry.Node.ID != "entry-a1" || entry.Timing.Grace != 75*time.Second || entry.Log.Stream != "dogwoodgauge" {
		t.Errorf("got %+v, want ID entry-a1, grace 75s and stream dogwoodgauge", entry)
	}
	agent, err := LoadAgent(examples + "agent.ini")
	if err != nil {
		t.Error(err)
	}
	if agent.Worker.Name != "worker-a1" || agent.Timing.Lease != 2500*time.Millisecond || agent.Records.MaxRecordBytes != 32<<20 {
		t.Errorf("got %+v, want worker worker-a1, lease 2.5s and max_record_bytes 32MiB", agent)
	}
}

// exampleKey matches a key of an example, commented out or not.
var exampleKey = regexp.MustCompile(`^;?([a-z_]+) = (.+)$`)

// TestExamplesDocumentEveryKey checks that the examples show every key with its default
// and a comment, and no key that does not exist.
func TestExamplesDocumentEveryKey(t *testing.T) {
	tests := []struct {
		file   string
		fields []field
	}{
		{"entry.ini", fields(&Entry{})},
		{"agent.ini", fields(&Agent{})},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			found := exampleKeys(t, examples+tt.file)
			for _, f := range tt.fields {
				text, ok := found[f.name]
				if !ok {
					t.Errorf("the example does not show the key %v", f.name)
				}
				if f.defaultText != "" && text != f.defaultText {
					t.Errorf("%v: the example shows %q, the default is %q", f.name, text, f.defaultText)
				}
				delete(found, f.name)
			}
			for n := range found {
				t.Errorf("the example shows the key %v, which does not exist", n)
			}
		})
	}
}

// exampleKeys returns the keys of an example and checks that a comment stands
// above each.
func exampleKeys(t *testing.T, path string) map[name]string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := map[name]string{}
	section, before := "", ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := sectionLine.FindStringSubmatch(line); m != nil {
			section = m[1]
		}
		if m := exampleKey.FindStringSubmatch(line); m != nil {
			found[name{section, m[1]}] = m[2]
			if !strings.HasPrefix(before, "# ") {
				t.Errorf("the key %s.%s has no comment above it", section, m[1])
			}
		}
		before = line
	}
	return found
}

// TestExamplesLoadWithEveryKeySet checks that the examples are still valid when the
// keys that are commented out are set.
func TestExamplesLoadWithEveryKeySet(t *testing.T) {
	for _, file := range []string{"entry.ini", "agent.ini"} {
		data, err := os.ReadFile(examples + file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(data), "\n;", "\n")
		if _, err := Check(write(t, text)); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestEveryFaultIsListed checks that one call reports all faults of a file, each with
// its line.
func TestEveryFaultIsListed(t *testing.T) {
	text := `stray = 1
[node]
role = entry
id = a.b c
[listen]
http = localhost:80
transport = 0.0.0.0:7100
metrics = 127.0.0.1:9
metrics = 127.0.0.1:10
[log]
stream = "quoted"
[peers]
seeds = 127.0.0.1:1, host:2
[limits]
body = 3 bananas
conections = 5
[timing]
grace = 20s
max_timeout = 30s
clock_bound = 250
[trace]
exporter = otlp
sampling = 1.5
[extra]
what is this
`
	want := []string{
		"1: the key stray stands before the first section",
		"2: the key domain of section node is missing",
		"4: id = a.b c: want 1 to 63 letters, digits, hyphens or underscores",
		"6: http = localhost:80: want an IP address and port such as 10.0.0.7:7101",
		"7: transport 0.0.0.0:7100 is no address that peers can connect to",
		"9: the key metrics is given twice",
		"10: the key address of section log is missing",
		"11: the value must not contain quotes or control characters",
		"13: seeds = 127.0.0.1:1, host:2: want an IP address and port such as 10.0.0.7:7101",
		"15: body = 3 bananas: want a size such as 512, 64KiB, 32MiB or 1GiB",
		"16: unknown key conections in section limits",
		"18: grace 20s is shorter than max_timeout 30s, the longest timeout of a job",
		"20: clock_bound = 250: want a positive duration with its unit such as 250ms, 2.5s or 5m",
		"22: exporter = otlp needs the key endpoint",
		"23: sampling = 1.5: want a number from 0 to 1",
		"24: unknown section extra",
		"25: the line is neither [section] nor key = value",
	}
	path := write(t, text)
	_, err := LoadEntry(path)
	if got := lines(t, err); !slices.Equal(got, want) {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if !strings.HasPrefix(err.Error(), path+":1: ") {
		t.Errorf("error %q does not start with the file and the line", err.Error())
	}
}

// TestSingleFaults checks the faults of values that exceed a limit, contradict other keys
// or are malformed, each in a file that is otherwise valid.
func TestSingleFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"grace shorter than the default longest timeout", validEntry + "[timing]\ngrace = 5s", "12: grace 5s is shorter than max_timeout 1m0s, the longest timeout of a job"},
		{"longest timeout over the limit", validEntry + "[timing]\nmax_timeout = 1h\ngrace = 2h", "12: max_timeout 1h0m0s is longer than the limit of 10m0s"},
		{"two listeners on one address", strings.Replace(validEntry, ":3", ":2", 1), "8: metrics has the address 127.0.0.1:2 of another listener"},
		{"agent's two listeners on one address", strings.Replace(validAgent, ":3", ":2", 1), "9: upstream has the address 127.0.0.1:2 of another listener"},
		{"body over the limit", validEntry + "[limits]\nbody = 1GiB", "12: body is larger than the limit of 8388608 bytes"},
		{"no connections", validEntry + "[limits]\nconnections = 0", "12: connections must not be 0"},
		{"log address without a port", strings.Replace(validEntry, ":4", ":0", 1), "10: address 127.0.0.1:0 is no address to connect to"},
		{"seed that is no address", validAgent + "[peers]\nseeds = 0.0.0.0:5", "13: seed 0.0.0.0:5 is no address to connect to"},
		{"file exporter without a file", validAgent + "[trace]\nexporter = file", "13: exporter = file needs the key file"},
		{"retention shorter than a job", validAgent + "[records]\nretention = 10s", "13: retention 10s is shorter than max_timeout and clock_bound together, 1m0.5s"},
		{"no records", validAgent + "[records]\nmax_records = 0", "13: max_records must not be 0"},
		{"records smaller than a job", validAgent + "[records]\nmax_record_bytes = 1MiB", "13: max_record_bytes is smaller than the largest job of 8388608 bytes"},
		{"open jobs smaller than two jobs", validAgent + "[records]\nmax_open_bytes = 15MiB", "13: max_open_bytes is smaller than two of the largest jobs of 8388608 bytes"},
		{"unknown policy", validAgent + "[policy]\nplacement = best", "13: placement = best: want one of [random round-robin least-load two-choices local-first]"},
		{"negative count", validAgent + "[queue]\nlimit = -1", "13: limit = -1: want a whole number that is not negative"},
		{"key without a value", validAgent + "[queue]\nlimit =", "13: the key limit has no value"},
		{"outage limit shorter than the lease", validAgent + "[timing]\noutage_limit = 2s", "13: outage_limit 2s is shorter than lease 2.5s"},
		{"outage limit that is no duration", validAgent + "[timing]\noutage_limit = never", "13: outage_limit = never: want none or a positive duration with its unit such as 30s, 10m or 2h"},
		{"outage limit of an entry", validEntry + "[timing]\noutage_limit = 1h", "12: unknown key outage_limit in section timing"},
		{"readiness delay without time for the last calls", validEntry + "[timing]\nreadiness_delay = 15.5s", "12: readiness_delay 15.5s and max_timeout 1m0s together are longer than grace 1m15s"},
		{"certificate without a key", validEntry + "[tls]\ncertificate = /c.pem", "12: certificate and key are needed together"},
		{"negative readiness delay", validEntry + "[timing]\nreadiness_delay = -1s", "12: readiness_delay = -1s: want a duration that is not negative with its unit such as 0s, 500ms or 2s"},
		{"readiness delay of an agent", validAgent + "[timing]\nreadiness_delay = 1s", "13: unknown key readiness_delay in section timing"},
		{"section twice", validAgent + "[log]\n", "12: the section log is given twice"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Check(write(t, tt.text))
			if got := lines(t, err); !slices.Equal(got, []string{tt.want}) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestCheckFindsTheRole checks that Check reads a file as settings of the role that it
// names, and that the Load functions refuse the file of another role.
func TestCheckFindsTheRole(t *testing.T) {
	noRole := func(text string) string {
		return strings.Replace(text, "role = entry\n", "\n", 1)
	}
	tests := []struct {
		name, text string
		role       Role
		want       []string
	}{
		{"entry", validEntry, RoleEntry, nil},
		{"agent", validAgent, RoleAgent, nil},
		{"no role", noRole(validEntry), "", []string{"1: the key role of section node is missing"}},
		{"empty file", "", "", []string{
			"0: the key address of section log is missing",
			"0: the key domain of section node is missing",
			"0: the key http of section listen is missing",
			"0: the key id of section node is missing",
			"0: the key metrics of section listen is missing",
			"0: the key role of section node is missing",
			"0: the key transport of section listen is missing",
		}},
		{"not text", "\xff\xfe", "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			role, err := Check(write(t, tt.text))
			if role != tt.role {
				t.Errorf("got role %q, want %q", role, tt.role)
			}
			if got := lines(t, err); tt.want != nil && !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if tt.role == "" && err == nil {
				t.Error("got no fault, want one since the file names no role")
			}
		})
	}
	if _, err := LoadAgent(write(t, validEntry)); err == nil || !strings.Contains(err.Error(), "role = entry in a file that is read as settings of role agent") {
		t.Errorf("LoadAgent of an entry's file: got error %v, want one about the role", err)
	}
	if _, err := LoadEntry(filepath.Join(t.TempDir(), "none.ini")); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("LoadEntry of a missing file: got error %v, want \"no such file\"", err)
	}
}

func TestParseSize(t *testing.T) {
	tests := []struct {
		text string
		want Size
	}{
		{"512", 512},
		{"64KiB", 64 << 10},
		{"32MiB", 32 << 20},
		{"1GiB", 1 << 30},
		{"", 0},
		{"0", 0},
		{"-1", 0},
		{"1.5MiB", 0},
		{"32MB", 0},
		{"9999999999999GiB", 0},
		{"MiB", 0},
	}
	for _, tt := range tests {
		got, err := ParseSize(tt.text)
		if got != tt.want || (err == nil) != (tt.want != 0) {
			t.Errorf("ParseSize(%q): got %d, error %v", tt.text, got, err)
		}
	}
}

// FuzzCheck checks that any file without a fault names a role, and that every fault has
// a reason and a line of the file.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		validEntry, validAgent, "", "[", "[a]\nb", "[a]\n[a]\n", "a=1", "[node]\nid = \\", "[DEFAULT]\nid = x",
		"[node]\nid = `a\nb`", "[node]\nid = \"\"\"a\nb\"\"\"", "\ufeff[node]\nrole = agent\r\n", "[node]\nid = %(role)s",
		"[node]\nid = a ; comment", "[log.sub]\nx = y", "\xff\xfe[\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &source{path: "f", file: readSource(os.DevNull).file, lines: map[name]int{}}
		s.parse(data)
		role, err := check(s)
		if err == nil {
			if role == "" {
				t.Error("got no fault for a file without a role")
			}
			return
		}
		faults := err.(Faults)
		last := strings.Count(string(data), "\n") + 1
		for _, fault := range faults {
			if fault.Line < 0 || fault.Line > last || fault.Reason == "" {
				t.Errorf("fault %+v has no reason or a line outside the file", fault)
			}
		}
	})
}
