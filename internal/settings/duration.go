package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is a string such as "1.5s" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
