// Package handover signs and checks the records of the control stream that
// operators hand over to entries.
//
// A handover is applied without a look at the log, because the log may have
// failed just after it accepted a record. So it must come from somebody who holds
// the key; the key is never sent.
package handover

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"os"

	"github.com/go-faster/errors"
)

// Header is the HTTP header that holds the signature of a body.
const Header = "Dogwoodgauge-Signature"

// MinKeyBytes is the length of the shortest key.
const MinKeyBytes = 32

// purpose keeps signatures for other purposes with the same key apart.
const purpose = "dogwoodgauge handover 1\n"

// Key signs and checks handovers.
type Key []byte

// ReadKey reads a key from a file. Space around it is left out.
func ReadKey(path string) (Key, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the key of handovers")
	}
	key := bytes.TrimSpace(text)
	if len(key) < MinKeyBytes {
		return nil, errors.Errorf("the key in %s has %d bytes, the least is %d", path, len(key), MinKeyBytes)
	}
	return key, nil
}

// Sign returns the signature of a body for one control stream.
func (k Key) Sign(stream string, body []byte) string {
	return hex.EncodeToString(k.sum(stream, body))
}

// Check reports whether signature is that of body for stream. Its time does not
// depend on where they differ.
func (k Key) Check(stream string, body []byte, signature string) bool {
	got, err := hex.DecodeString(signature)
	return err == nil && len(k) >= MinKeyBytes && hmac.Equal(got, k.sum(stream, body))
}

func (k Key) sum(stream string, body []byte) []byte {
	mac := hmac.New(sha256.New, k)
	mac.Write([]byte(purpose + stream + "\n"))
	mac.Write(body)
	return mac.Sum(nil)
}
