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
// event to w, in the order time, level, fields, message. Values are quoted
// where needed. The level is one of debug, info, warn and error; anything else
// counts as info. It is safe for concurrent use.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || l == zerolog.NoLevel {
		l = zerolog.InfoLevel
	}
	return zerolog.New(zerolog.SyncWriter(&keyValueWriter{out: w})).Level(l).With().Timestamp().Logger()
}

// keyValueWriter turns zerolog's JSON events into key=value lines. zerolog's
// ConsoleWriter is not used because it leaves empty values and values with an
// equals sign unquoted and sorts the fields.
type keyValueWriter struct{ out io.Writer }

// Write takes one event.
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
		line.WriteString(quoteIfNeeded(unquoteJSON(value)))
	}
	line.WriteByte('\n')
	if _, err := k.out.Write(line.Bytes()); err != nil {
		return 0, err
	}
	return len(event), nil
}

// unquoteJSON returns a JSON string without its quotes and any other value as it is.
func unquoteJSON(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
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
