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

// writeCertificate writes a certificate for 127.0.0.1 with the given serial number,
// and its key. The modification time of both files depends on the serial number.
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
	replaceFile(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), serial)
	replaceFile(t, certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), serial)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// replaceFile writes a file and sets its modification time to one that depends on
// change, so that each replacement is noticed however short the test is.
func replaceFile(t *testing.T, file string, data []byte, change int64) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, time.Time{}, time.Unix(1_790_000_000+change, 0)); err != nil {
		t.Fatal(err)
	}
}

// TestTLS checks that a server with a certificate refuses plain HTTP and uses a
// replaced certificate without a restart. If the replacement cannot be loaded, it must
// keep the previous certificate.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if _, err := LoadCertificate(certFile, keyFile); err == nil {
		t.Error("LoadCertificate succeeded without files, want an error")
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
		t.Errorf("request with the first certificate: %v", err)
	}
	if resp, err := http.Get("http://" + s.Addr()); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a plain HTTP request was answered with %s, want 400 or no answer", resp.Status)
	}
	second := writeCertificate(t, certFile, keyFile, 2)
	if err := get(second); err != nil {
		t.Errorf("request with the replaced certificate: %v", err)
	}
	if get(first) == nil {
		t.Error("the first certificate is still served after its replacement")
	}
	replaceFile(t, certFile, []byte("none"), 3)
	if err := get(second); err != nil {
		t.Errorf("request after the file was replaced by one without a certificate: %v", err)
	}
}
