package settings

import (
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid marks every error that Load and Parse return for refused settings.
var ErrInvalid = errors.New("settings refused")

// Load reads and checks a settings file. Errors name the file, the line where it is known, the key and what is allowed.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalid)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxSettingsFileBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalid)
	}
	if len(text) > maxSettingsFileBytes {
		return nil, errors.Mark(errors.Newf("%s: larger than %d bytes", path, maxSettingsFileBytes), ErrInvalid)
	}
	return Parse(path, text)
}

// Parse checks settings text. name is used in error messages.
func Parse(name string, text []byte) (*Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Mark(describe(name, err), ErrInvalid)
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

// describe turns a decoder error into one line per fault with line, column and key.
func describe(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			row, column := strict.Errors[i].Position()
			lines = append(lines, errors.Newf("%s:%d:%d: unknown key %q", name, row, column,
				strings.Join(strict.Errors[i].Key(), ".")).Error())
		}
		return errors.Newf("%s", strings.Join(lines, "\n"))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return errors.Newf("%s:%d:%d: key %q: %s", name, row, column, strings.Join(decode.Key(), "."), decode.Error())
	}
	return errors.Wrapf(err, "%s", name)
}

func (s *Settings) readSecret() error {
	if s.Link.SecretFile == "" {
		return nil
	}
	if s.Link.Secret != "" {
		return errors.New("link.secret and link.secret_file exclude each other")
	}
	secret, err := os.ReadFile(s.Link.SecretFile)
	if err != nil {
		return errors.Wrap(err, "link.secret_file")
	}
	s.Link.Secret = strings.TrimSpace(string(secret))
	return nil
}
