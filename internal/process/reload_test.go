package process

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/settings"
)

// Guards against a reload of the settings file that ends the process or does not
// change the log level, and against an invalid file that changes it.
func TestReload(t *testing.T) {
	c := qt.New(t)
	level := zerolog.GlobalLevel()
	defer zerolog.SetGlobalLevel(level)
	file := filepath.Join(t.TempDir(), "settings.json")
	p := Program{Name: "entry", Load: func(file string) (LoadedSettings, error) {
		s, err := settings.LoadEntry(file)
		return LoadedSettings{Log: s.Log}, err
	}}
	var out bytes.Buffer
	log := observe.NewLogger(&out, zerolog.LevelDebugValue)
	write := func(content string) {
		c.Assert(os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		reloadSettings(p, file, log)
	}
	write(validEntry)
	c.Check(zerolog.GlobalLevel(), qt.Equals, zerolog.InfoLevel)
	c.Check(out.String(), qt.Contains, "message=settings_read")
	for _, bad := range []string{``, `{`, `{"id":""}`, validAgent} {
		out.Reset()
		write(bad)
		c.Check(zerolog.GlobalLevel(), qt.Equals, zerolog.InfoLevel)
		c.Check(out.String(), qt.Contains, "message=settings_rejected")
	}
	write(validEntry[:len(validEntry)-1] + `,"log":{"level":"error"}}`)
	c.Check(zerolog.GlobalLevel(), qt.Equals, zerolog.ErrorLevel)
}
