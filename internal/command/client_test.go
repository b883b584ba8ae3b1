package command

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCallsOverTLS checks that a command with --ca calls an entry over TLS if a
// certificate in that file signs the entry's certificate. The command must trust no other
// certificate and no other host name.
func TestCallsOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	dir := t.TempDir()
	ca, none := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "none.pem")
	der := server.Certificate().Raw
	for file, text := range map[string][]byte{ca: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), none: nil} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	addr := strings.TrimPrefix(server.URL, "https://")
	tests := []struct {
		ca   string
		want Code
	}{
		{ca, CodeOK}, {"", CodeFailed}, {none, CodeUsage}, {filepath.Join(dir, "absent"), CodeUsage},
	}
	for _, tt := range tests {
		var out, errs strings.Builder
		got := Main([]string{"status", "--json", "--entry", addr, "--ca", tt.ca}, Streams{Out: &out, Err: &errs})
		if got != tt.want || (got == CodeOK) != (out.String() == "{}") {
			t.Errorf("--ca %q: got code %d, standard output %q, standard error %q", tt.ca, got, out.String(), errs.String())
		}
	}
	otherName := client{addr: addr, ca: ca}
	server.Close()
	other := httptest.NewTLSServer(http.NotFoundHandler())
	defer other.Close()
	otherName.addr = strings.Replace(other.URL, "https://127.0.0.1", "localhost", 1)
	if _, err := otherName.call(t.Context(), http.MethodGet, "/", nil, nil); err == nil {
		t.Error("the client trusted a certificate that was issued for another host name")
	}
}
