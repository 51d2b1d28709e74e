package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Defaults of optional keys.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultRequestTimeout = 30 * time.Second
	defaultMaxUnavailable = 1
	defaultCanary         = 1
	defaultWeight         = 1
)

// Digest returns the hex SHA-256 of text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Parse decodes text strictly, sets defaults and validates the result as a whole. Its errors are FaultsErrors.
func Parse(text string) (*Config, error) {
	if len(text) > MaxDocumentBytes {
		return nil, NewFaultsError("", fmt.Sprintf("document has %d bytes, at most %d are allowed", len(text), MaxDocumentBytes))
	}
	cfg := &Config{}
	unknown, err := DecodeStrict(text, cfg)
	if err != nil {
		return nil, err
	}
	positions := IndexPositions(text)
	cfg.setDefaults(positions)
	var invalid *FaultsError
	if err := cfg.Validate(); errors.As(err, &invalid) {
		positions.FillLines(invalid.Faults)
		unknown = append(unknown, invalid.Faults...)
	}
	if len(unknown) > 0 {
		return nil, &FaultsError{Faults: unknown}
	}
	return cfg, nil
}

// DecodeStrict decodes TOML into target. Unknown keys are returned as faults beside the decoded target; syntax errors and
// wrong types end the decoding and are returned as an error.
func DecodeStrict(text string, target any) ([]Fault, error) {
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(target)
	if err == nil {
		return nil, nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]Fault, 0, len(strict.Errors))
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			faults = append(faults, Fault{Line: line, Key: strings.Join(strict.Errors[i].Key(), "."), Problem: "unknown key"})
		}
		return faults, nil
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return nil, &FaultsError{Faults: []Fault{{Line: line, Key: strings.Join(decode.Key(), "."), Problem: decode.Error()}}}
	}
	return nil, NewFaultsError("", err.Error())
}

// setDefaults fills keys that the document does not set. A key that is set to zero is left for Validate to refuse.
func (c *Config) setDefaults(set *Positions) {
	setDefault(set, "limits.max_body_bytes", &c.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(set, "limits.max_header_bytes", &c.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(set, "limits.request_timeout", &c.Limits.RequestTimeout, Duration(DefaultRequestTimeout))
	for i := range c.Models {
		prefix := fmt.Sprintf("model[%d].", i)
		setDefault(set, prefix+"max_unavailable", &c.Models[i].MaxUnavailable, defaultMaxUnavailable)
		setDefault(set, prefix+"canary", &c.Models[i].Canary, defaultCanary)
	}
	for i := range c.Callers {
		setDefault(set, fmt.Sprintf("caller[%d].weight", i), &c.Callers[i].Weight, defaultWeight)
	}
}

func setDefault[T comparable](set *Positions, key string, field *T, value T) {
	var zero T
	if *field == zero && !set.Has(key) {
		*field = value
	}
}
