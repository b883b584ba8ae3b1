package httpserver

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Certificate is a TLS certificate and its key. It loads both files again when one of
// them has changed. It is safe for concurrent use.
type Certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	// loadedModTimes holds the modification times of both files at the last attempt to
	// load them. It is set also if that failed, so that unusable files are loaded, and
	// the error logged, only once per change.
	loadedModTimes [2]time.Time
}

// LoadCertificate loads a certificate chain and its private key from PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	modTimes, err := c.modTimes()
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	c.current, c.loadedModTimes = &pair, modTimes
	return c, nil
}

// modTimes returns the modification times of the files.
func (c *Certificate) modTimes() (times [2]time.Time, err error) {
	for i, file := range []string{c.certFile, c.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return times, errors.Wrap(err, "load certificate")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// certificateForHandshake returns the certificate for a TLS handshake. If the files
// have changed but cannot be loaded, the previous certificate stays in use.
func (c *Certificate) certificateForHandshake(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modTimes, err := c.modTimes()
	if err != nil || modTimes == c.loadedModTimes {
		return c.current, nil
	}
	c.loadedModTimes = modTimes
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		klog.Errorf("http: the changed certificate %s cannot be loaded, the previous one stays in use: %v", c.certFile, err)
		return c.current, nil
	}
	c.current = &pair
	return c.current, nil
}

// tlsConfig returns the TLS configuration of the server.
func (c *Certificate) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: c.certificateForHandshake,
	}
}
