// Package handover signs and verifies records of the control stream that an
// operator sends directly to an entry.
//
// An entry applies such a handover without reading the log, because the log may
// have failed just after it accepted the record. The signature proves that the
// sender has the key. The key itself is never sent.
package handover

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"os"

	"github.com/go-faster/errors"
)

// SignatureHeader is the HTTP header with the signature of the body.
const SignatureHeader = "Dogwoodgauge-Signature"

// MinKeyBytes is the minimum length of a key.
const MinKeyBytes = 32

// purpose is part of what is signed, so that a signature made with the same key
// for another purpose is not valid here.
const purpose = "dogwoodgauge handover 1\n"

// Key is the secret with which handovers are signed and verified.
type Key []byte

// ReadKey reads a key from a file. White space around the key is removed.
func ReadKey(path string) (Key, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the handover key")
	}
	key := bytes.TrimSpace(text)
	if len(key) < MinKeyBytes {
		return nil, errors.Errorf("the handover key in %s has %d bytes, want at least %d", path, len(key), MinKeyBytes)
	}
	return key, nil
}

// Sign returns the signature of a body for one control stream.
func (k Key) Sign(stream string, body []byte) string {
	return hex.EncodeToString(k.sum(stream, body))
}

// Verify reports whether signature is the signature of body for stream. Against timing
// attacks, it takes the same time wherever the signatures differ.
func (k Key) Verify(stream string, body []byte, signature string) bool {
	got, err := hex.DecodeString(signature)
	return err == nil && len(k) >= MinKeyBytes && hmac.Equal(got, k.sum(stream, body))
}

func (k Key) sum(stream string, body []byte) []byte {
	mac := hmac.New(sha256.New, k)
	mac.Write([]byte(purpose + stream + "\n"))
	mac.Write(body)
	return mac.Sum(nil)
}
