package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// acceptedDuration describes the form of a duration in error messages.
const acceptedDuration = `a string with a unit, for example "500ms" or "2s"`

// MarshalJSON writes d as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.AsDuration().String()) }

// UnmarshalJSON reads a string with a unit. A number without a unit is an error,
// because its unit could only be guessed.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return durationError(string(data))
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return durationError(text)
	}
	*d = Duration(v)
	return nil
}

func durationError(value string) error {
	return fmt.Errorf("%s is not accepted; accepted: %s", quoteTruncated(value), acceptedDuration)
}
