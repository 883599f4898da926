package config

import "strings"

// pathRoute is a route with its prefix in the form of plainPath.
type pathRoute struct {
	Route
	prefix string
}

// plainPath decodes the percent encoding of a path, except for "/" and "%", which
// it leaves encoded so that different paths remain different. The contract with the
// callers gives prefixes as they occur in requests, which encode all letters other
// than those of ASCII; a client may also encode others.
func plainPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		b, ok := escapedByte(path[i:])
		switch {
		case !ok:
			out.WriteByte(path[i])
			continue
		case b == '/':
			out.WriteString("%2F")
		case b == '%':
			out.WriteString("%25")
		default:
			out.WriteByte(b)
		}
		i += 2
	}
	return out.String()
}

// escapedByte returns the byte whose percent encoding s begins with.
func escapedByte(s string) (b byte, ok bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	for _, c := range []byte(s[1:3]) {
		switch {
		case '0' <= c && c <= '9':
			b = b<<4 | (c - '0')
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			b = b<<4 | (c | 0x20 - 'a' + 10)
		default:
			return 0, false
		}
	}
	return b, true
}
