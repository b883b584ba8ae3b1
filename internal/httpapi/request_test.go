package httpapi

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// testNow is a wall-clock time in milliseconds since the Unix epoch.
const testNow int64 = 1_800_000_000_000

var testLimits = Limits{MaxBodyBytes: 1 << 20, MaxTimeout: time.Minute, ClockBound: 500 * time.Millisecond}

// uuidAt returns a UUID of version 7 with a creation time in milliseconds since the
// Unix epoch.
func uuidAt(ms int64) string {
	h := fmt.Sprintf("%012x", ms)
	return h[:8] + "-" + h[8:] + "-7000-8000-000000000001"
}

// mintedAt returns a minted job ID with a creation time like uuidAt.
func mintedAt(ms int64) string {
	return string(job.Minted{Home: node.Ref{ID: "a", Incarnation: 5}, Created: ms, Minter: 6, Seq: 7}.ID())
}

// labels returns a JSON object with n labels.
func labels(n int) string {
	pairs := make([]string, n)
	for i := range pairs {
		pairs[i] = fmt.Sprintf(`"k%d":"v"`, i)
	}
	return "{" + strings.Join(pairs, ",") + "}"
}

func TestDecodeJobAccepts(t *testing.T) {
	tests := []struct {
		name    string
		body    string
		created int64
	}{
		{"no ID", `{"team":"t","tasks":[{}]}`, 0},
		{"own ID with created", `{"id":"a-1","created":1,"team":"t","tasks":[{}]}`, 1},
		{"created at the clock bound", fmt.Sprintf(`{"id":"a","created":%d,"team":"t","tasks":[{}]}`, testNow+500), testNow + 500},
		{"UUIDv7", fmt.Sprintf(`{"id":%q,"team":"t","tasks":[{}]}`, uuidAt(testNow)), testNow},
		{"UUIDv7 with the same created", fmt.Sprintf(`{"id":%q,"created":%d,"team":"t","tasks":[{}]}`, uuidAt(testNow), testNow), testNow},
		{"minted", fmt.Sprintf(`{"id":%q,"team":"t","tasks":[{}]}`, mintedAt(testNow-5)), testNow - 5},
		{"most tasks", `{"team":"t","tasks":[{}` + strings.Repeat(`,{}`, job.MaxTasks-1) + `]}`, 0},
		{"most labels", `{"team":"t","tasks":[{"labels":` + labels(job.MaxLabels) + `}]}`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j, err := DecodeJob([]byte(tt.body), testNow, testLimits)
			if err != nil {
				t.Fatal(err)
			}
			if j.Created != tt.created {
				t.Errorf("created %d, want %d", j.Created, tt.created)
			}
			if j.Class != job.Normal || j.Timeout != DefaultTimeout {
				t.Errorf("class %q, timeout %v; want the defaults", j.Class, j.Timeout)
			}
		})
	}
}

func TestDecodeJobKeepsEveryField(t *testing.T) {
	body := `{"id":"a","attempt":2,"team":"records","created":9,"timeout_ms":250,"class":"urgent","idempotent":true,` +
		`"tasks":[{"labels":{"kind":"currency"},"payload":"` + base64.StdEncoding.EncodeToString([]byte("seven")) + `"}]}`
	j, err := DecodeJob([]byte(body), testNow, testLimits)
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "a" || j.Attempt != 2 || j.Team != "records" || j.Timeout != 250*time.Millisecond ||
		j.Class != job.Urgent || !j.Idempotent {
		t.Errorf("job %+v differs from the request", j)
	}
	if string(j.Tasks[0].Payload) != "seven" || j.Tasks[0].Labels["kind"] != "currency" {
		t.Errorf("task %+v differs from the request", j.Tasks[0])
	}
}

func TestDecodeJobRefuses(t *testing.T) {
	big := base64.StdEncoding.EncodeToString(make([]byte, job.MaxPayloadBytes+1))
	tests := []struct {
		name string
		body string
		kind errkind.Kind
		want string
	}{
		{"empty", ``, errkind.BadRequest, "body is empty"},
		{"not JSON", `{`, errkind.BadRequest, "not valid"},
		{"two objects", `{"team":"t","tasks":[{}]}{}`, errkind.BadRequest, "data after"},
		{"unknown field", `{"team":"t","tasks":[{}],"colour":1}`, errkind.BadRequest, `unknown field "colour"`},
		{"wrong type", `{"team":7,"tasks":[{}]}`, errkind.BadRequest, "field team"},
		{"payload not base64", `{"team":"t","tasks":[{"payload":"%"}]}`, errkind.BadRequest, "base64"},
		{"no team", `{"tasks":[{}]}`, errkind.BadRequest, "team is missing"},
		{"long team", `{"team":"` + strings.Repeat("t", maxTeamBytes+1) + `","tasks":[{}]}`, errkind.BadRequest, "team is 129 bytes; the limit is 128"},
		{"no tasks", `{"team":"t","tasks":[]}`, errkind.BadRequest, "tasks is empty"},
		{"too many tasks", `{"team":"t","tasks":[{}` + strings.Repeat(`,{}`, job.MaxTasks) + `]}`, errkind.TooLarge, "tasks has 1501 items; the limit is 1500"},
		{"far too many tasks", `{"team":"t","tasks":[{}` + strings.Repeat(`,{}`, 100*job.MaxTasks) + `]}`, errkind.TooLarge, "tasks has more than 1500 items"},
		{"unknown field of a task", `{"team":"t","tasks":[{"colour":1}]}`, errkind.BadRequest, `unknown field "colour"`},
		{"large payload", `{"team":"t","tasks":[{},{"payload":"` + big + `"}]}`, errkind.TooLarge, "tasks[1].payload is 65537 bytes; the limit is 65536"},
		{"too many labels", `{"team":"t","tasks":[{"labels":` + labels(job.MaxLabels+1) + `}]}`, errkind.BadRequest, "tasks[0].labels has 33 items; the limit is 32"},
		{"empty label key", `{"team":"t","tasks":[{"labels":{"":"v"}}]}`, errkind.BadRequest, "tasks[0].labels"},
		{"negative attempt", `{"attempt":-1,"team":"t","tasks":[{}]}`, errkind.BadRequest, "attempt is -1"},
		{"negative timeout", `{"timeout_ms":-1,"team":"t","tasks":[{}]}`, errkind.BadRequest, "timeout_ms is -1; it must be from 0 to 60000"},
		{"long timeout", `{"timeout_ms":60001,"team":"t","tasks":[{}]}`, errkind.BadRequest, "timeout_ms is 60001"},
		{"timeout beyond a duration", `{"timeout_ms":9223372036854775807,"team":"t","tasks":[{}]}`, errkind.BadRequest, "timeout_ms"},
		{"unknown class", `{"class":"now","team":"t","tasks":[{}]}`, errkind.BadRequest, `class is "now"; it must be one of urgent, normal, batch`},
		{"long ID", `{"id":"` + strings.Repeat("i", job.MaxIDBytes+1) + `","created":1,"team":"t","tasks":[{}]}`, errkind.BadRequest, "id is 129 bytes; the limit is 128"},
		{"slash in ID", `{"id":"a/b","created":1,"team":"t","tasks":[{}]}`, errkind.BadRequest, "id holds the byte '/'"},
		{"own ID without created", `{"id":"a","team":"t","tasks":[{}]}`, errkind.BadRequest, "POST /v1/ids"},
		{"UUIDv4 without created", `{"id":"0f8fad5b-d9cb-469f-a165-70867728950e","team":"t","tasks":[{}]}`, errkind.BadRequest, "created is missing"},
		{"created in the future", fmt.Sprintf(`{"id":"a","created":%d,"team":"t","tasks":[{}]}`, testNow+501), errkind.BadRequest, "501 ms ahead of the clock; the limit is 500 ms"},
		{"UUIDv7 in the future", fmt.Sprintf(`{"id":%q,"team":"t","tasks":[{}]}`, uuidAt(testNow+501)), errkind.BadRequest, "ahead of the clock"},
		{"minted in the future", fmt.Sprintf(`{"id":%q,"team":"t","tasks":[{}]}`, mintedAt(testNow+501)), errkind.BadRequest, "ahead of the clock"},
		{"minted before 1970", fmt.Sprintf(`{"id":%q,"team":"t","tasks":[{}]}`, mintedAt(-1)), errkind.BadRequest, "created is -1"},
		{"created differs from the ID", fmt.Sprintf(`{"id":%q,"created":3,"team":"t","tasks":[{}]}`, uuidAt(testNow)), errkind.BadRequest, "created is 3, but the ID carries"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeJob([]byte(tt.body), testNow, testLimits)
			var refused *httpserver.Error
			if !errors.As(err, &refused) {
				t.Fatalf("error %v, want an *httpserver.Error", err)
			}
			if refused.Kind != tt.kind || !strings.Contains(refused.Detail, tt.want) {
				t.Errorf("%s: %s; want %s: ...%s...", refused.Kind, refused.Detail, tt.kind, tt.want)
			}
		})
	}
}

func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"team":"t","tasks":[{}]}`,
		`{"id":"a","created":1,"attempt":1,"team":"t","timeout_ms":5,"class":"batch","idempotent":true,"tasks":[{"labels":{"k":"v"},"payload":"AA=="}]}`,
		`{"id":"` + uuidAt(testNow) + `","team":"t","tasks":[{}]}`,
		`{"id":"` + mintedAt(testNow) + `","team":"t","tasks":[{}]}`,
		`{"team":"t","tasks":null}`,
		`[]`, `null`, `{"tasks":[null]}`, `{"team":"t","tasks":[{"payload":"*"}]}`, "\xff", `{"timeout_ms":1e30}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := DecodeJob(body, testNow, testLimits)
		if err != nil {
			var refused *httpserver.Error
			if !errors.As(err, &refused) || refused.Detail == "" {
				t.Fatalf("error %v is not an *httpserver.Error with a detail", err)
			}
			return
		}
		if len(j.Tasks) == 0 || len(j.Tasks) > job.MaxTasks || j.Team == "" || j.Timeout <= 0 || j.Timeout > testLimits.MaxTimeout {
			t.Fatalf("an accepted job violates the limits: %+v", j)
		}
		if (j.ID == "") != (j.Created == 0) || j.Created > testNow+testLimits.ClockBound.Milliseconds() {
			t.Fatalf("accepted ID %q with created %d; want 0 only without an ID, and no time beyond the clock bound", j.ID, j.Created)
		}
		if _, err := json.Marshal(j); err != nil {
			t.Fatal(err)
		}
	})
}
