package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written in TOML as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
