package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"chicorytray.example/chicorytray/wire"
)

// Bounds of the values of leased templates and routes.
const (
	// MaxAttemptsLimit is the largest value of Template.MaxAttempts. Only the type of the
	// counters of failed runs bounds it.
	MaxAttemptsLimit = math.MaxInt32
	// maxHostBytes is the longest host name (RFC 1035, 2.3.4).
	maxHostBytes = 253
)

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// leased checks the fields that only templates of KindLeased have.
func (v *validator) leased(path string, t *Template) {
	if t.Kind != KindLeased {
		for _, f := range []struct {
			field string
			unset bool
		}{
			{"pool", t.Pool == ""}, {"max_attempts", t.MaxAttempts == 0},
			{"slack_factor", t.SlackFactor == 0}, {"target_ms", t.TargetMS == 0},
		} {
			v.check(f.unset, path+"."+f.field, "accepted only for kind %q; leave the field out", KindLeased)
		}
		return
	}
	v.check(ValidPool(t.Pool), path+".pool", "%q is not accepted; give 1 to %d printable characters without spaces", truncate(t.Pool), maxNameBytes)
	v.check(1 <= t.MaxAttempts && t.MaxAttempts <= MaxAttemptsLimit, path+".max_attempts",
		"%d is not accepted; give 1 to %d", t.MaxAttempts, MaxAttemptsLimit)
	v.check(t.SlackFactor > 0, path+".slack_factor", "%v is not accepted; give a number above 0", t.SlackFactor)
	v.check(t.TargetMS >= 0, path+".target_ms", "%d is not accepted; give 0 or more", t.TargetMS)
}

// ValidPool reports whether a pool may have the name: it can be shown in a log line
// and compared byte by byte, because it has only printable ASCII characters and no
// spaces.
func ValidPool(name string) bool {
	return wire.ValidName(name)
}

func (v *validator) routes(routes []Route, templates []Template) {
	kinds := make(map[string]Kind, len(templates))
	for i := range templates {
		kinds[templates[i].Name] = templates[i].Kind
	}
	seen := make(map[Route]bool, len(routes))
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.check(len(r.Host) <= maxHostBytes && hostPattern.MatchString(r.Host), path+".host",
			"%q is not accepted; give a host name without port", truncate(r.Host))
		v.check(validPrefix(r.Prefix), path+".prefix",
			"%q is not accepted; give a path of at most %d bytes that begins with /, without query", truncate(r.Prefix), maxPathBytes)
		kind, known := kinds[r.Template]
		v.check(!r.Closed || r.Template == "", path+".template", "not accepted for a closed route; leave the field out")
		v.check(known || r.Closed, path+".template", "%q is not a template", truncate(r.Template))
		v.check(!known || kind == KindLeased, path+".template", "%q is of kind %q; give a template of kind %q", truncate(r.Template), truncate(string(kind)), KindLeased)
		key := Route{Host: strings.ToLower(r.Host), Prefix: r.Prefix}
		v.check(!seen[key], path, "host and prefix are listed more than once")
		seen[key] = true
	}
}

func validPrefix(prefix string) bool {
	return len(prefix) <= maxPathBytes && strings.HasPrefix(prefix, "/") &&
		!strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' })
}
