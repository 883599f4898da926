//go:build !linux

package clock

import "time"

// suspensionOffset returns 0: suspensions are counted on Linux only.
func suspensionOffset() time.Duration { return 0 }
