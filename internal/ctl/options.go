package ctl

import (
	"flag"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Environment variables.
const (
	envAdmin = "PIMENTOCTL_ADMIN"
	envToken = "PIMENTOCTL_TOKEN" //nolint:gosec // the name of a variable
)

const (
	outputTable = "table"
	outputJSON  = "json"
	// defaultTimeout bounds one request including its retries.
	defaultTimeout = 30 * time.Second
	// defaultWaitTimeout bounds the wait for a rollout or a drain.
	defaultWaitTimeout = 15 * time.Minute
	// maxFileBytes bounds local files. It is twice the size limit of a document.
	maxFileBytes = 1 << 20
)

// options holds the flags that several subcommands share.
type options struct {
	output    string
	admin     string
	tokenFile string
	timeout   time.Duration
}

func (c *invocation) outputFlag(flags *flag.FlagSet) {
	flags.StringVar(&c.options.output, "o", outputTable, "output `form`: table or json")
}

func (c *invocation) adminFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.options.admin, "admin", "", "admin `URLs` of entries, separated by commas (default $"+envAdmin+")")
	flags.StringVar(&c.options.tokenFile, "token-file", "", "`file` with the operator token (default: the token in $"+envToken+")")
	flags.DurationVar(&c.options.timeout, "timeout", defaultTimeout, "time after which a request to the entries is given up")
}

// jsonOutput reports whether the output is JSON. It returns an error for an unknown format.
func (c *invocation) jsonOutput() (bool, error) {
	switch c.options.output {
	case outputTable:
		return false, nil
	case outputJSON:
		return true, nil
	default:
		return false, usageError("-o must be %q or %q", outputTable, outputJSON)
	}
}

// client returns a client for the entries whose URLs the flag or the environment variable lists.
func (c *invocation) client() (*client, error) {
	list := c.options.admin
	if list == "" {
		list = c.env.Getenv(envAdmin)
	}
	var urls []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimRight(strings.TrimSpace(item), "/"); item == "" {
			continue
		}
		u, err := url.Parse(item)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, usageError("%q is not a URL such as http://127.0.0.1:9001", item)
		}
		urls = append(urls, item)
	}
	if len(urls) == 0 {
		return nil, usageError("no entry is given: set -admin or $%s to admin URLs", envAdmin)
	}
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	return newClient(urls, token, c.options.timeout), nil
}

// token returns the operator token from the file that the flag names, else from the environment variable.
func (c *invocation) token() (string, error) {
	token := c.env.Getenv(envToken)
	if c.options.tokenFile != "" {
		text, err := readFile(c.options.tokenFile)
		if err != nil {
			return "", err
		}
		token = text
	}
	if token = strings.TrimSpace(token); token == "" {
		return "", usageError("no operator token is given: set -token-file or $%s", envToken)
	}
	return token, nil
}

// readFile reads a local file of at most maxFileBytes.
func readFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", usageError("%v", err)
	}
	if info.Size() > maxFileBytes {
		return "", refusedError(errors.Newf("%s: larger than %d bytes", path, maxFileBytes))
	}
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return "", usageError("%v", err)
	}
	return string(text), nil
}

// writeNewFile writes text to a new file, or to standard output when path is empty. It does not overwrite files.
func (c *invocation) writeNewFile(path, text string) error {
	if path == "" {
		_, err := c.env.Stdout.Write([]byte(text))
		return errors.Wrap(err, "standard output")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644) //nolint:gosec // not a secret, and the operator names it
	if errors.Is(err, os.ErrExist) {
		return usageError("%s exists already, it is not overwritten", path)
	}
	if err != nil {
		return errors.Wrap(err, "output")
	}
	_, err = file.WriteString(text)
	return errors.CombineErrors(errors.Wrap(err, "output"), errors.Wrap(file.Close(), "output"))
}

// singleFile returns the only positional argument, or a usage error when there is not exactly one.
func singleFile(args []string) (string, error) {
	if len(args) != 1 {
		return "", usageError("needs exactly one file, got %d", len(args))
	}
	return args[0], nil
}
