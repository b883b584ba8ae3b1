package transport

import (
	"strings"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// TestDeepFrame guards against a process that ends by a stack overflow while it decodes a
// frame of another writer, and against frames refused for brackets inside their strings.
func TestDeepFrame(t *testing.T) {
	const levels = 8 << 20 // more than a stack of 1 GB holds
	deep := strings.Repeat("[", levels)
	for name, params := range map[string]string{
		"array":          deep,
		"closed array":   deep + strings.Repeat("]", levels),
		"object":         strings.Repeat(`{"a":`, levels/2),
		"unknown field":  `{"odd":` + deep + `}`,
		"after a string": `{"odd":"\\\"[","more":` + deep + `}`,
	} {
		s := readerOf(frame(string(deliverPrefix)+params+string(notifySuffix)), DefaultMaxFrameBytes)
		s.onDeliver = func(*message.Envelope) error { t.Errorf("%s: the frame was delivered", name); return nil }
		if err := s.ReadObject(&jsonrpc2.Request{}); !errors.Is(err, errBadFrame) {
			t.Errorf("%s: got error %v, want errBadFrame", name, err)
		}
	}
	text := string(deliverPrefix) + `{"from":{"id":"` + strings.Repeat("[{", maxNesting) + `"}}` + string(notifySuffix)
	if _, ok := decodeDeliver([]byte(text)); !ok || nestsTooDeep([]byte(text)) {
		t.Error("a frame was refused for the brackets in a string")
	}
}
