package ctl

import (
	"context"
	"crypto/rand"
	_ "embed" // for the questionnaire template
	"encoding/base64"
	"flag"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/questionnaire"
)

//go:embed template.toml
var questionnaireTemplate string

// keyBytes is the number of random bytes in an API key.
const keyBytes = 32

func initCommand() command {
	return command{
		name: "init", arguments: "[-out FILE]", summary: "writes an empty questionnaire",
		examples: []string{"pimentoctl init -out questionnaire.toml"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			out := flags.String("out", "", "new `file`, instead of standard output")
			return func(_ context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				return c.writeNewFile(*out, questionnaireTemplate)
			}
		},
	}
}

// keepFlag defines -keep on flags.
func keepFlag(flags *flag.FlagSet) *string {
	return flags.String("keep", "", "configuration `file` whose versions, pauses and drains are kept")
}

// generateFromArgs generates a configuration from the questionnaire that is the only argument. Versions, pauses and drains are copied from
// the configuration file at keepPath, unless that is empty.
func generateFromArgs(args []string, keepPath string) (*questionnaire.Result, error) {
	path, err := singleFile(args)
	if err != nil {
		return nil, err
	}
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	answers, err := questionnaire.Parse(text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	var activeConfig *config.Config
	if keepPath != "" {
		if activeConfig, _, err = parseFile(keepPath); err != nil {
			return nil, err
		}
	}
	return questionnaire.Generate(answers, activeConfig)
}

func generateCommand() command {
	return command{
		name: "generate", arguments: "[-out FILE] [-keep FILE] QUESTIONNAIRE", summary: "generates a configuration from a questionnaire",
		examples: []string{
			"pimentoctl generate -out fleet.toml questionnaire.toml",
			"pimentoctl history -revision 12 > now.toml && pimentoctl generate -keep now.toml questionnaire.toml > fleet.toml",
		},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			out := flags.String("out", "", "new `file`, instead of standard output")
			keep := keepFlag(flags)
			return func(_ context.Context, args []string) error {
				result, err := generateFromArgs(args, *keep)
				if err != nil {
					return err
				}
				return c.writeNewFile(*out, result.Text)
			}
		},
	}
}

func explainCommand() command {
	return command{
		name: "explain", arguments: "[-key TEXT] [-keep FILE] [-o json] QUESTIONNAIRE",
		summary: "gives the reason for each generated value",
		examples: []string{
			"pimentoctl explain questionnaire.toml", "pimentoctl explain -key max_unavailable -o json questionnaire.toml",
		},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			key := flags.String("key", "", "show only keys that contain `text`")
			keep := keepFlag(flags)
			return func(_ context.Context, args []string) error {
				result, err := generateFromArgs(args, *keep)
				if err != nil {
					return err
				}
				reasons := []questionnaire.Reason{}
				rows := [][]string{{"KEY", "VALUE", "REASON"}}
				for _, r := range result.Reasons {
					if strings.Contains(r.Key, *key) {
						reasons = append(reasons, r)
						rows = append(rows, []string{r.Key, r.Value, r.Reason})
					}
				}
				return c.print(reasons, func() [][]string { return rows })
			}
		},
	}
}

// parseFile reads and parses a configuration file.
func parseFile(path string) (*config.Config, string, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, "", err
	}
	cfg, err := config.Parse(text)
	return cfg, text, errors.Wrapf(err, "%s", path)
}

func validateCommand() command {
	return command{
		name: "validate", arguments: "[-o json] FILE", summary: "checks a configuration and prints its digest",
		examples: []string{"pimentoctl validate fleet.toml"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			return func(_ context.Context, args []string) error {
				path, err := singleFile(args)
				if err != nil {
					return err
				}
				_, text, err := parseFile(path)
				if err != nil {
					return err
				}
				digest := config.Digest(text)
				return c.print(map[string]string{"digest": digest}, func() [][]string { return [][]string{{"valid, digest", digest}} })
			}
		},
	}
}

func keyCommand() command {
	return command{
		name: "key", arguments: "[-o json]", summary: "makes an API key for a caller and the hash for the questionnaire",
		examples: []string{"pimentoctl key", "pimentoctl key -o json"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			return func(_ context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				raw := make([]byte, keyBytes)
				if _, err := rand.Read(raw); err != nil {
					return errors.Wrap(err, "generate key")
				}
				key := base64.RawURLEncoding.EncodeToString(raw)
				result := map[string]string{"key": key, "key_sha256": config.Digest(key)}
				return c.print(result, func() [][]string {
					return [][]string{{"key (give it to the caller)", key}, {"key_sha256 (for the questionnaire)", result["key_sha256"]}}
				})
			}
		},
	}
}
