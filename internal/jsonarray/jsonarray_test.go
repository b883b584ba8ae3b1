package jsonarray

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

// FuzzDecode checks that an array is decoded as encoding/json does, or refused, and never beyond
// the limit.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		"[]", "null", "[1,2,3]", "[1,2,3,4]", " [1]", "[1,\"a\"]", "[1", "{}", "[[[", "[1]x", `"` + strings.Repeat("[", 100) + `"`,
		strings.Repeat(" ", 100) + "[1,2]",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit = 3
		if !json.Valid(text) {
			return // A field of a document that encoding/json has scanned is valid.
		}
		var want []int
		wantErr := json.Unmarshal(text, &want)
		got, err := Decode[int](text, limit, false)
		switch {
		case len(got) > limit && len(text) > limit*minElementBytes && text[0] == '[':
			t.Errorf("%d elements were decoded, the limit is %d", len(got), limit)
		case errors.Is(err, ErrTooMany):
			if len(want) <= limit {
				t.Errorf("%q was refused with %d elements", text, len(want))
			}
		case (err == nil) != (wantErr == nil):
			t.Errorf("%q: got error %v, want %v", text, err, wantErr)
		case err == nil && !reflect.DeepEqual(got, want) && len(got)+len(want) > 0:
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	})
}
