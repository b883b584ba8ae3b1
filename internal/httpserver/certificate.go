package httpserver

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Certificate is a certificate with its key, read again when a file changes. It
// is safe for concurrent use.
type Certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	// seen holds the times of the files when they were last read, also when they
	// could not be used.
	seen [2]time.Time
}

// LoadCertificate reads a certificate chain and its key, both PEM.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	seen, err := c.changed()
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	c.current, c.seen = &pair, seen
	return c, nil
}

// changed returns the modification times of the files.
func (c *Certificate) changed() (times [2]time.Time, err error) {
	for i, file := range []string{c.certFile, c.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return times, errors.Wrap(err, "load certificate")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// get returns the certificate for a handshake. Files that can't be used leave
// the one before in use.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, err := c.changed()
	if err != nil || seen == c.seen {
		return c.current, nil
	}
	c.seen = seen
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		klog.Errorf("http: the changed certificate %s is not used: %v", c.certFile, err)
		return c.current, nil
	}
	c.current = &pair
	return c.current, nil
}

// config returns the settings of TLS connections.
func (c *Certificate) config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: c.get,
	}
}
