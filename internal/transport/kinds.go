package transport

import (
	"reflect"
	"strings"
	"sync/atomic"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// kindNames holds the JSON names of the fields of message.Message.
var kindNames = func() []string {
	t := reflect.TypeFor[message.Message]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}()

// kindOf returns the index of the only field that is set. It reports false when
// no field or several fields are set.
func kindOf(m *message.Message) (int, bool) {
	v := reflect.ValueOf(m).Elem()
	kind, set := 0, 0
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			kind = i
			set++
		}
	}
	return kind, set == 1
}

// wellFormed reports whether each message has exactly one field set.
func wellFormed(env *message.Envelope) bool {
	for i := range env.Messages {
		if _, ok := kindOf(&env.Messages[i]); !ok {
			return false
		}
	}
	return true
}

// kindCounters counts messages by kind; the index is that of kindNames.
type kindCounters []atomic.Uint64

func newKindCounters() kindCounters { return make(kindCounters, len(kindNames)) }

func (c kindCounters) add(messages []message.Message) {
	for i := range messages {
		if kind, ok := kindOf(&messages[i]); ok {
			c[kind].Add(1)
		}
	}
}

// KindCount counts the messages of one kind. Kind is the JSON name of the field
// of message.Message.
type KindCount struct {
	Kind     string `json:"kind"`
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// kindCounts combines the counts of sent and received messages.
func kindCounts(sent, received kindCounters) []KindCount {
	counts := make([]KindCount, len(kindNames))
	for i, name := range kindNames {
		counts[i] = KindCount{Kind: name, Sent: sent[i].Load(), Received: received[i].Load()}
	}
	return counts
}
