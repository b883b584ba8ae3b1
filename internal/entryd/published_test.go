package entryd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/handover"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

const handoverKey = handover.MinKeyBytes

// withKey sets the key file of an entry and returns the key.
func withKey(t testing.TB) (handover.Key, func(*settings.Entry)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(strings.Repeat("k", handoverKey)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := handover.ReadKey(path)
	if err != nil {
		t.Fatal(err)
	}
	return key, func(s *settings.Entry) { s.Access.KeyFile = settings.Path(path) }
}

// handOver posts a body and returns the status of the answer.
func handOver(d *Daemon, body, signature string) int {
	r := httptest.NewRequest(http.MethodPost, PublishedPath, strings.NewReader(body))
	r.Header.Set(handover.SignatureHeader, signature)
	answer := httptest.NewRecorder()
	d.monitorHandler().ServeHTTP(answer, r)
	return answer.Code
}

// offsetOf returns the core's offset after every event that was handed to it.
func offsetOf(t testing.TB, d *Daemon) int64 {
	t.Helper()
	s, err := d.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s.Offset
}

// published returns a body with one record of a member at an offset.
func published(t testing.TB, from int64) string {
	t.Helper()
	member := control.Member{Ref: node.Ref{ID: "a1", Incarnation: 1}, Addr: "127.0.0.1:1", Role: control.RoleAgent}
	body, err := json.Marshal(Published{From: from, Records: [][]byte{control.EncodeJoin(member)}})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestForgedRecordsAreNotApplied checks that only records signed with the key for
// this stream change anything.
func TestForgedRecordsAreNotApplied(t *testing.T) {
	key, set := withKey(t)
	d, open := startEntry(t, set), startEntry(t)
	body := published(t, 0)
	stream := d.cfg.Settings.Log.Stream
	other := handover.Key(strings.Repeat("x", handoverKey))
	forged := map[string]string{
		"no signature": "", "no hexadecimal": "zz", "empty key": handover.Key("").Sign(stream, []byte(body)),
		"other key": other.Sign(stream, []byte(body)), "other stream": key.Sign("other", []byte(body)),
		"other body": key.Sign(stream, []byte(published(t, 1))), "cut": key.Sign(stream, []byte(body))[:8],
	}
	for name, signature := range forged {
		if status := handOver(d, body, signature); status != http.StatusForbidden || offsetOf(t, d) != 0 {
			t.Errorf("%s: status %d, offset %d", name, status, offsetOf(t, d))
		}
	}
	signature := key.Sign(stream, []byte(body))
	if status := handOver(open, body, signature); status != http.StatusForbidden || offsetOf(t, open) != 0 {
		t.Errorf("an entry without a key: status %d, offset %d", status, offsetOf(t, open))
	}
	for range 2 {
		if status := handOver(d, body, signature); status != http.StatusNoContent || offsetOf(t, d) != 1 {
			t.Errorf("signed: status %d, offset %d", status, offsetOf(t, d))
		}
	}
	if err := os.WriteFile(string(d.cfg.Settings.Access.KeyFile), other, 0o600); err != nil {
		t.Fatal(err)
	}
	if status := handOver(d, body, signature); status != http.StatusForbidden {
		t.Errorf("with a key that was replaced: status %d", status)
	}
}

// FuzzHandover asserts that a body without its signature is refused and changes
// nothing, and that one with it neither stops the entry nor moves it back.
func FuzzHandover(f *testing.F) {
	key, set := withKey(f)
	d := startEntry(f, set)
	stream := d.cfg.Settings.Log.Stream
	for _, body := range []string{
		published(f, 0), published(f, 5), published(f, -1), "", "{}", "null", `{"from":0,"records":[]}`,
		`{"from":9223372036854775807,"records":["e30="]}`, `{"from":0,"records":["e30=",null]}`,
	} {
		f.Add(body, key.Sign(stream, []byte(body)), false)
		f.Add(body, "00", false)
		f.Add(body, "", true)
	}
	f.Fuzz(func(t *testing.T, body, signature string, sign bool) {
		before := offsetOf(t, d)
		if sign {
			signature = key.Sign(stream, []byte(body))
		}
		status := handOver(d, body, signature)
		after := offsetOf(t, d)
		switch signed := key.Verify(stream, []byte(body), signature); {
		case !signed && (status != http.StatusForbidden || after != before):
			t.Errorf("without its signature: status %d, offset %d after %d", status, after, before)
		case signed && (status >= http.StatusInternalServerError || status == http.StatusForbidden || after < before):
			t.Errorf("signed: status %d, offset %d after %d", status, after, before)
		}
	})
}
