package transport

import "bytes"

// maxNesting is the limit of nested arrays and objects in a frame; messages have less than
// ten levels. The fast decoder has no limit of its own: it needs about 300 bytes of stack a
// level, and a stack overflow ends the process.
const maxNesting = 1000

// nestsTooDeep reports whether arrays and objects in a JSON text are nested deeper than
// maxNesting. It also accepts malformed text.
func nestsTooDeep(text []byte) bool {
	if bytes.Count(text, []byte{'['})+bytes.Count(text, []byte{'{'}) <= maxNesting {
		return false
	}
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			quoted = !quoted
		case quoted && c == '\\':
			i++
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > maxNesting {
				return true
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return false
}
