package agentd

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

const validAnnouncement = `{"name":"u","addr":"127.0.0.1:80","slots":8,"connections":64,"labels":{"kind":"shop"},"ttl_ms":3000}`

func TestDecodeAnnouncement(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"valid", "", "", ""},
		{"IPv6", "127.0.0.1:80", "[::1]:80", ""},
		{"no name", `"u"`, `""`, "name has 0 bytes"},
		{"long name", `"u"`, `"` + strings.Repeat("u", maxNameBytes+1) + `"`, "name has 129 bytes"},
		{"host name", "127.0.0.1:80", "localhost:80", `addr is "localhost:80"`},
		{"no port", "127.0.0.1:80", "127.0.0.1", "addr is"},
		{"port 0", "127.0.0.1:80", "127.0.0.1:0", "addr is"},
		{"large port", "127.0.0.1:80", "127.0.0.1:65536", "addr is"},
		{"any host", "127.0.0.1:80", "[::]:80", "addr is"},
		{"many hosts", "127.0.0.1:80", "224.0.0.1:80", "addr is"},
		{"long address", "127.0.0.1:80", strings.Repeat("1", 9000), "addr is"},
		{"large slots", `"slots":8`, `"slots":9223372036854775808`, "slots"},
		{"fraction", `"slots":8`, `"slots":1.5`, "slots"},
		{"nested", `"slots":8`, `"slots":` + strings.Repeat("[", 1_000_000), "not valid"},
		{"negative slots", `"slots":8`, `"slots":-1`, "slots is -1"},
		{"no connections", `"connections":64`, `"connections":0`, "connections is 0"},
		{"no TTL", `"ttl_ms":3000`, `"ttl_ms":0`, "ttl_ms is 0"},
		{"long TTL", `"ttl_ms":3000`, `"ttl_ms":600001`, "ttl_ms is 600001; it must be from 1 to 600000"},
		{"unknown field", `"slots"`, `"slot":1,"slots"`, `unknown field "slot"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, err := DecodeAnnouncement([]byte(strings.Replace(validAnnouncement, tt.old, tt.new, 1)))
			if tt.want == "" {
				if err != nil || a.Slots != 8 {
					t.Fatalf("announcement %+v, error %v; want 8 slots and no error", a, err)
				}
				return
			}
			var refused *httpserver.Error
			if !errors.As(err, &refused) || refused.Kind != errkind.BadRequest || !strings.Contains(refused.Detail, tt.want) {
				t.Errorf("error %v, want a bad request with %q", err, tt.want)
			}
		})
	}
}

func FuzzDecodeAnnouncement(f *testing.F) {
	for _, seed := range []string{validAnnouncement, `{}`, `null`, `[1]`, `{"ttl_ms":9223372036854775807}`, `{"slots":-1}`, strings.Replace(validAnnouncement, `"slots":8`, `"slots":0`, 1)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := DecodeAnnouncement(body)
		if err != nil {
			var refused *httpserver.Error
			if !errors.As(err, &refused) || refused.Detail == "" {
				t.Fatalf("error %v is not an *httpserver.Error with a detail", err)
			}
			return
		}
		if a.ttl() <= 0 || a.ttl() > maxTTL || a.Slots < 0 || a.Slots > maxSlots || a.Connections < 1 {
			t.Fatalf("an accepted announcement violates the limits: %+v", a)
		}
	})
}
