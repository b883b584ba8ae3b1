package httpserver

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeCertificate writes a certificate for 127.0.0.1 and its key, with the given
// serial number and time of change.
func writeCertificate(t *testing.T, certFile, keyFile string, serial int64) *x509.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	replace(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), serial)
	replace(t, certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), serial)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// replace writes a file with a time of change of its own.
func replace(t *testing.T, file string, data []byte, change int64) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, time.Time{}, time.Unix(1_790_000_000+change, 0)); err != nil {
		t.Fatal(err)
	}
}

// TestTLS checks that only TLS is served, that a replaced certificate is used
// without a restart, and that one that can't be read leaves the former in use.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if _, err := LoadCertificate(certFile, keyFile); err == nil {
		t.Error("a certificate without files was loaded")
	}
	first := writeCertificate(t, certFile, keyFile, 1)
	loaded, err := LoadCertificate(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	s := start(t, Config{Handler: http.NotFoundHandler(), Certificate: loaded})
	get := func(root *x509.Certificate) error {
		roots := x509.NewCertPool()
		roots.AddCert(root)
		client := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true}}
		resp, err := client.Get("https://" + s.Addr())
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	if err := get(first); err != nil {
		t.Errorf("first certificate: %v", err)
	}
	if resp, err := http.Get("http://" + s.Addr()); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a plain request was answered with %s", resp.Status)
	}
	second := writeCertificate(t, certFile, keyFile, 2)
	if err := get(second); err != nil {
		t.Errorf("replaced certificate: %v", err)
	}
	if get(first) == nil {
		t.Error("the former certificate is still served")
	}
	replace(t, certFile, []byte("none"), 3)
	if err := get(second); err != nil {
		t.Errorf("with a file that holds no certificate: %v", err)
	}
}
