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

const handoverKeyBytes = handover.MinKeyBytes

// newHandoverKey writes a key file. It returns the key and a function that sets the
// key file in the settings of an entry.
func newHandoverKey(t testing.TB) (handover.Key, func(*settings.Entry)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(strings.Repeat("k", handoverKeyBytes)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := handover.ReadKey(path)
	if err != nil {
		t.Fatal(err)
	}
	return key, func(s *settings.Entry) { s.Access.KeyFile = settings.Path(path) }
}

// postHandover posts a handover to the entry and returns the status of the answer.
func postHandover(d *Daemon, body, signature string) int {
	r := httptest.NewRequest(http.MethodPost, PublishedPath, strings.NewReader(body))
	r.Header.Set(handover.SignatureHeader, signature)
	answer := httptest.NewRecorder()
	d.monitorHandler().ServeHTTP(answer, r)
	return answer.Code
}

// coreOffset returns the core's offset after it has processed all earlier events.
func coreOffset(t testing.TB, d *Daemon) int64 {
	t.Helper()
	s, err := d.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s.Offset
}

// handoverBody returns the body of a handover with one record, by which an agent
// joins, at the given offset.
func handoverBody(t testing.TB, from int64) string {
	t.Helper()
	member := control.Member{Ref: node.Ref{ID: "a1", Incarnation: 1}, Addr: "127.0.0.1:1", Role: control.RoleAgent}
	body, err := json.Marshal(Published{From: from, Records: [][]byte{control.EncodeJoin(member)}})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestForgedRecordsAreNotApplied guards against handovers from anybody without the
// key: the entry must apply records only if they are signed with its current key and
// for its stream.
func TestForgedRecordsAreNotApplied(t *testing.T) {
	key, set := newHandoverKey(t)
	d, open := startEntry(t, set), startEntry(t)
	body := handoverBody(t, 0)
	stream := d.cfg.Settings.Log.Stream
	other := handover.Key(strings.Repeat("x", handoverKeyBytes))
	forged := map[string]string{
		"no signature": "", "no hexadecimal": "zz", "empty key": handover.Key("").Sign(stream, []byte(body)),
		"other key": other.Sign(stream, []byte(body)), "other stream": key.Sign("other", []byte(body)),
		"other body": key.Sign(stream, []byte(handoverBody(t, 1))), "cut": key.Sign(stream, []byte(body))[:8],
	}
	for name, signature := range forged {
		if status := postHandover(d, body, signature); status != http.StatusForbidden || coreOffset(t, d) != 0 {
			t.Errorf("%s: status %d, offset %d; want 403 and 0", name, status, coreOffset(t, d))
		}
	}
	signature := key.Sign(stream, []byte(body))
	if status := postHandover(open, body, signature); status != http.StatusForbidden || coreOffset(t, open) != 0 {
		t.Errorf("an entry without a key: status %d, offset %d; want 403 and 0", status, coreOffset(t, open))
	}
	for range 2 {
		if status := postHandover(d, body, signature); status != http.StatusNoContent || coreOffset(t, d) != 1 {
			t.Errorf("signed: status %d, offset %d; want 204 and 1", status, coreOffset(t, d))
		}
	}
	if err := os.WriteFile(string(d.cfg.Settings.Access.KeyFile), other, 0o600); err != nil {
		t.Fatal(err)
	}
	if status := postHandover(d, body, signature); status != http.StatusForbidden {
		t.Errorf("signed with a key that was replaced: status %d, want 403", status)
	}
}

// FuzzHandover checks that a handover without a valid signature is refused and changes
// nothing. A signed one, whatever its body, must neither make the entry fail nor lower
// its offset.
func FuzzHandover(f *testing.F) {
	key, set := newHandoverKey(f)
	d := startEntry(f, set)
	stream := d.cfg.Settings.Log.Stream
	for _, body := range []string{
		handoverBody(f, 0), handoverBody(f, 5), handoverBody(f, -1), "", "{}", "null", `{"from":0,"records":[]}`,
		`{"from":9223372036854775807,"records":["e30="]}`, `{"from":0,"records":["e30=",null]}`,
	} {
		f.Add(body, key.Sign(stream, []byte(body)), false)
		f.Add(body, "00", false)
		f.Add(body, "", true)
	}
	f.Fuzz(func(t *testing.T, body, signature string, sign bool) {
		before := coreOffset(t, d)
		if sign {
			signature = key.Sign(stream, []byte(body))
		}
		status := postHandover(d, body, signature)
		after := coreOffset(t, d)
		switch signed := key.Verify(stream, []byte(body), signature); {
		case !signed && (status != http.StatusForbidden || after != before):
			t.Errorf("without a valid signature: status %d, offset %d after %d; want 403 and the same offset", status, after, before)
		case signed && (status >= http.StatusInternalServerError || status == http.StatusForbidden || after < before):
			t.Errorf("signed: status %d, offset %d after %d; want no refusal of the signature, no status from 500 and no lower offset", status, after, before)
		}
	})
}
