package entryd

import (
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// TestCallersSpeakTLS checks that an entry with a certificate in its settings serves
// callers over TLS only, and operators still over plain HTTP.
func TestCallersSpeakTLS(t *testing.T) {
	// The entry uses the certificate of tlsServer, which the server's client trusts.
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsServer.Close()
	key, err := x509.MarshalPKCS8PrivateKey(tlsServer.TLS.Certificates[0].PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) settings.Path {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return settings.Path(path)
	}
	files := settings.TLS{
		Certificate: write("cert", "CERTIFICATE", tlsServer.Certificate().Raw), Key: write("key", "PRIVATE KEY", key),
	}
	d := startEntry(t, func(s *settings.Entry) { s.TLS = files })
	for url, want := range map[string]int{
		"https://" + d.HTTPAddr():   http.StatusOK,
		"http://" + d.HTTPAddr():    http.StatusBadRequest,
		"http://" + d.MetricsAddr(): http.StatusOK,
	} {
		resp, err := tlsServer.Client().Get(url + "/healthz")
		if err != nil {
			t.Errorf("%s: %v", url, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", url, resp.StatusCode, want)
		}
	}
}
