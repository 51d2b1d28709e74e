package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pimentohead/pimentohead/internal/config"
)

func diffCommand() command {
	return command{
		name: "diff", arguments: "[-o json] [OLD] NEW", summary: "compares two configurations, or one with that in force",
		examples: []string{"pimentoctl diff old.toml new.toml", "pimentoctl diff -admin http://127.0.0.1:9001 fleet.toml"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			return func(ctx context.Context, args []string) error {
				if len(args) != 1 && len(args) != 2 {
					return usageError("needs one or two files, got %d", len(args))
				}
				next, _, err := parseFile(args[len(args)-1])
				if err != nil {
					return err
				}
				old, err := c.oldConfig(ctx, args)
				if err != nil {
					return err
				}
				changes := config.Diff(old, next)
				return c.print(changes, func() [][]string { return changeRows(changes) })
			}
		},
	}
}

// oldConfig returns the configuration in the first of two files, or the one in force when args names a single file.
func (c *invocation) oldConfig(ctx context.Context, args []string) (*config.Config, error) {
	if len(args) == 2 {
		old, _, err := parseFile(args[0])
		return old, err
	}
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	_, old, err := c.activeConfig(ctx, client)
	return old, err
}

// activeConfig returns the configuration in force and its envelope, or nil and an empty envelope when there is none.
func (c *invocation) activeConfig(ctx context.Context, client *client) (config.Envelope, *config.Config, error) {
	e, err := client.current(ctx)
	if errors.Is(err, errNotFound) {
		return config.Envelope{}, nil, nil
	}
	if err != nil {
		return e, nil, err
	}
	cfg, err := config.Parse(e.Text)
	return e, cfg, err
}

// submitFlags holds the flags of the subcommand submit.
type submitFlags struct {
	digest, id string
	base       string
	yes        bool
}

func submitCommand() command {
	return command{
		name: "submit", arguments: "(-digest DIGEST | -yes) [-base REVISION] [-id ID] FILE", summary: "puts a configuration in force",
		examples: []string{
			"pimentoctl submit fleet.toml                     # shows the digest and the difference, submits nothing",
			"pimentoctl submit -digest 3f5a... fleet.toml     # submits exactly the approved text",
			"pimentoctl submit -yes -admin http://10.0.0.1:9001,http://10.0.0.2:9001 fleet.toml",
		},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			f := &submitFlags{}
			flags.StringVar(&f.digest, "digest", "", "the approved `digest`; another text is refused")
			flags.BoolVar(&f.yes, "yes", false, "submit after showing the digest and the difference")
			flags.StringVar(&f.base, "base", "", "the `revision` the change was made on (default: the one in force)")
			flags.StringVar(&f.id, "id", "", "submission `ID` of an earlier attempt (default: a new one)")
			return func(ctx context.Context, args []string) error {
				path, err := singleFile(args)
				if err != nil {
					return err
				}
				return c.submitFile(ctx, path, f)
			}
		},
	}
}

// submitFile prints the digest of the file and its difference from the configuration in force, and submits the file if the flags
// approve its digest.
func (c *invocation) submitFile(ctx context.Context, path string, f *submitFlags) error {
	if _, err := c.jsonOutput(); err != nil {
		return err
	}
	next, text, err := parseFile(path)
	if err != nil {
		return err
	}
	digest := config.Digest(text)
	if f.digest != "" && f.digest != digest {
		return refusedError(errors.Newf("%s has digest %s, %s was approved", path, digest, f.digest))
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, old, err := c.activeConfig(ctx, client)
	if err != nil {
		return err
	}
	base := current.Revision
	if f.base != "" {
		if base, err = strconv.ParseUint(f.base, 10, 64); err != nil {
			return usageError("-base %q is not a revision", f.base)
		}
	}
	c.infof("digest %s, base revision %d", digest, base)
	for _, row := range changeRows(config.Diff(old, next)) {
		c.infof("  %s", row[0])
	}
	if f.digest == "" && !f.yes {
		return usageError("nothing was submitted; approve with -digest %s", digest)
	}
	return c.submitText(ctx, client, base, text, f.id)
}

// submitText submits text and prints the accepted revision.
func (c *invocation) submitText(ctx context.Context, client *client, base uint64, text, id string) error {
	accepted, err := c.submit(ctx, client, base, text, id)
	if err != nil {
		return err
	}
	return c.printEnvelope(accepted, "accepted")
}

// submit submits text as a change of revision base. An empty id selects a new submission ID.
func (c *invocation) submit(ctx context.Context, client *client, base uint64, text, id string) (config.Envelope, error) {
	if id == "" {
		id = uuid.NewString()
	}
	c.infof("submission ID %s", id)
	return client.submit(ctx, config.Submission{Base: base, Digest: config.Digest(text), SubmissionID: id, Text: text})
}

// printEnvelope prints the metadata of an envelope without its text. label starts the only row of the table.
func (c *invocation) printEnvelope(e config.Envelope, label string) error {
	e.Text = ""
	return c.print(e, func() [][]string {
		return [][]string{{fmt.Sprintf("%s: revision %d, digest %s", label, e.Revision, e.Digest)}}
	})
}

func historyCommand() command {
	return command{
		name: "history", arguments: "[-n COUNT] [-revision REVISION] [-o json]", summary: "lists accepted configurations or prints one",
		examples: []string{"pimentoctl history -n 5", "pimentoctl history -revision 12 > fleet-12.toml"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			count := flags.Int("n", 10, "`number` of revisions to list")
			revision := flags.Uint64("revision", 0, "print the text of this `revision`")
			return func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				return c.showHistory(ctx, *revision, *count)
			}
		},
	}
}

// showHistory prints the configuration with the given revision, or a list of up to count revisions when revision is 0.
func (c *invocation) showHistory(ctx context.Context, revision uint64, count int) error {
	asJSON, err := c.jsonOutput()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if revision > 0 {
		e, err := client.history(ctx, revision)
		if err != nil {
			return err
		}
		if asJSON {
			return c.print(e, nil)
		}
		return c.writeNewFile("", e.Text)
	}
	list, err := recentRevisions(ctx, client, count)
	if err != nil {
		return err
	}
	return c.print(list, func() [][]string {
		rows := [][]string{{"REVISION", "BASE", "TIME", "AUTHOR", "DIGEST"}}
		for _, e := range list {
			rows = append(rows, []string{
				fmt.Sprint(e.Revision), fmt.Sprint(e.Base), e.Time.Format(time.RFC3339), e.Author, e.Digest,
			})
		}
		return rows
	})
}

// recentRevisions returns up to count envelopes without their texts, newest first.
func recentRevisions(ctx context.Context, client *client, count int) ([]config.Envelope, error) {
	list := []config.Envelope{}
	e, err := client.current(ctx)
	for len(list) < count {
		if err != nil {
			return nil, err
		}
		previous := e.Revision - 1
		e.Text = ""
		list = append(list, e)
		if previous == 0 || len(list) == count {
			break
		}
		e, err = client.history(ctx, previous)
	}
	return list, nil
}
