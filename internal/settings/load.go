package settings

import (
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid marks every error of Load and Parse.
var ErrInvalid = errors.New("settings refused")

// Load reads a settings file, sets defaults and validates it. Its errors match ErrInvalid. The message has one line per fault
// with the file, the line if known, the key and the allowed values.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalid)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxSettingsFileBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalid)
	}
	if len(text) > maxSettingsFileBytes {
		return nil, errors.Mark(errors.Newf("%s: larger than %d bytes", path, maxSettingsFileBytes), ErrInvalid)
	}
	return Parse(path, text)
}

// Parse decodes the text of a settings file, sets defaults and validates it. name is the file name in error messages. If
// link.secret_file is set, Parse reads that file. Its errors match ErrInvalid.
func Parse(name string, text []byte) (*Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Mark(formatDecodeError(name, err), ErrInvalid)
	}
	if err := s.readSecret(); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s", name), ErrInvalid)
	}
	s.setDefaults()
	if err := s.validate(name, text); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	return &s, nil
}

// formatDecodeError converts an error of the TOML decoder into one line per fault with file, line, column and key. Errors of other
// types only get the file name.
func formatDecodeError(name string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		faults := make([]string, 0, len(unknownKeys.Errors))
		for i := range unknownKeys.Errors {
			line, column := unknownKeys.Errors[i].Position()
			faults = append(faults, errors.Newf("%s:%d:%d: unknown key %q", name, line, column,
				strings.Join(unknownKeys.Errors[i].Key(), ".")).Error())
		}
		return errors.Newf("%s", strings.Join(faults, "\n"))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return errors.Newf("%s:%d:%d: key %q: %s", name, line, column, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
	}
	return errors.Wrapf(err, "%s", name)
}

// readSecret sets Link.Secret to the content of Link.SecretFile, without surrounding white space, if a secret file is set.
func (s *Settings) readSecret() error {
	if s.Link.SecretFile == "" {
		return nil
	}
	if s.Link.Secret != "" {
		return errors.New("link.secret and link.secret_file must not both be set")
	}
	secret, err := os.ReadFile(s.Link.SecretFile)
	if err != nil {
		return errors.Wrap(err, "link.secret_file")
	}
	s.Link.Secret = strings.TrimSpace(string(secret))
	return nil
}
