package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event to w, in the order level, fields, time, message. Values are quoted where
// needed. The level is debug, info, warn or error; a level that zerolog does not
// know counts as info. The logger is safe for concurrent use.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || l == zerolog.NoLevel {
		l = zerolog.InfoLevel
	}
	return zerolog.New(zerolog.SyncWriter(&keyValueWriter{out: w})).Level(l).With().Timestamp().Logger()
}

// maxValueBytes is the largest size of a value in a line. An error may quote what
// another process sent, of any size.
const maxValueBytes = 8 << 10

// keyValueWriter converts zerolog's JSON events to key=value lines. zerolog's
// ConsoleWriter is not used because it does not quote empty values and values
// with an equals sign, and because it sorts the fields.
type keyValueWriter struct{ out io.Writer }

// Write writes one JSON event as a line of key=value pairs.
func (k *keyValueWriter) Write(event []byte) (int, error) {
	var line bytes.Buffer
	dec := json.NewDecoder(bytes.NewReader(event))
	dec.UseNumber()
	if _, err := dec.Token(); err != nil {
		return 0, err
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return 0, err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return 0, err
		}
		if line.Len() > 0 {
			line.WriteByte(' ')
		}
		name, _ := key.(string)
		line.WriteString(quoteIfNeeded(name))
		line.WriteByte('=')
		line.WriteString(quoteIfNeeded(shorten(unquoteJSON(value))))
	}
	line.WriteByte('\n')
	if _, err := k.out.Write(line.Bytes()); err != nil {
		return 0, err
	}
	return len(event), nil
}

// unquoteJSON returns the text of a JSON string, and any other value unchanged.
func unquoteJSON(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// shorten returns a value of at most maxValueBytes, and says when it was cut.
func shorten(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueBytes], "") + "... (" + strconv.Itoa(len(s)) + " bytes)"
}

func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsFunc(s, mustQuote) {
		return strconv.Quote(s)
	}
	return s
}

func mustQuote(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r == 0x7f || !strconv.IsPrint(r)
}
