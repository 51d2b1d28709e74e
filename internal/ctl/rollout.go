package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
)

// maxRollbackSearch bounds the number of revisions in which a rollback searches for the previous version.
const maxRollbackSearch = 1000

// rolloutFlags holds the flags of the subcommand rollout.
type rolloutFlags struct {
	model, version          string
	pause, resume, rollback bool
	wait                    bool
	waitTimeout             time.Duration
}

func rolloutCommand() command {
	return command{
		name: "rollout", arguments: "-model MODEL (-version VERSION | -pause | -resume | -rollback) [-wait]",
		summary: "sets a model's version in the configuration in force, or pauses, resumes or undoes its rollout",
		examples: []string{
			"pimentoctl rollout -model hemline -version 9f8e... -wait", "pimentoctl rollout -model hemline -pause",
			"pimentoctl rollout -model hemline -rollback -wait",
		},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			f := &rolloutFlags{}
			flags.StringVar(&f.model, "model", "", "name of the `model`")
			flags.StringVar(&f.version, "version", "", "`digest` of the manifest to roll out, 64 hex digits")
			flags.BoolVar(&f.pause, "pause", false, "let no further replica load the version")
			flags.BoolVar(&f.resume, "resume", false, "go on after -pause")
			flags.BoolVar(&f.rollback, "rollback", false, "return to the version before the present one")
			flags.BoolVar(&f.wait, "wait", false, "wait until every replica serves the version")
			flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "time after which waiting ends")
			return func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				if err := f.validate(); err != nil {
					return err
				}
				return c.rollout(ctx, f)
			}
		},
	}
}

func (f *rolloutFlags) validate() error {
	selected := 0
	for _, set := range []bool{f.version != "", f.pause, f.resume, f.rollback} {
		if set {
			selected++
		}
	}
	switch {
	case f.model == "":
		return usageError("-model is required")
	case selected != 1:
		return usageError("give exactly one of -version, -pause, -resume and -rollback")
	case f.version != "" && !config.ValidHash(f.version):
		return usageError("-version must be 64 lower-case hex digits")
	case f.pause && f.wait:
		return usageError("-pause and -wait exclude each other: a paused rollout does not finish")
	}
	return nil
}

func (c *invocation) rollout(ctx context.Context, f *rolloutFlags) error {
	client, current, err := c.startEdit(ctx)
	if err != nil {
		return err
	}
	text, err := f.edit(ctx, client, current)
	if err != nil {
		return err
	}
	accepted, err := c.submitEdit(ctx, client, current, text)
	if err != nil || !f.wait {
		return err
	}
	cfg, err := config.Parse(text)
	if err != nil {
		return err
	}
	version := modelVersion(cfg, f.model)
	return c.waitFor(ctx, client, f.waitTimeout, func(s admin.Status) (string, bool, error) {
		return rolloutProgress(s, f.model, version, accepted.Revision)
	})
}

// edit returns the current text with the one value changed that the flags select.
func (f *rolloutFlags) edit(ctx context.Context, client *client, current config.Envelope) (string, error) {
	switch {
	case f.pause:
		return setModelValue(current.Text, f.model, "paused", "true")
	case f.resume:
		return setModelValue(current.Text, f.model, "paused", "false")
	case f.rollback:
		version, err := previousVersion(ctx, client, current, f.model)
		if err != nil {
			return "", err
		}
		return setModelValue(current.Text, f.model, "version", `"`+version+`"`)
	default:
		return setModelValue(current.Text, f.model, "version", `"`+f.version+`"`)
	}
}

// startEdit checks the output flag and returns a client and the configuration on which an edit is based.
func (c *invocation) startEdit(ctx context.Context) (*client, config.Envelope, error) {
	if _, err := c.jsonOutput(); err != nil {
		return nil, config.Envelope{}, err
	}
	client, err := c.client()
	if err != nil {
		return nil, config.Envelope{}, err
	}
	current, err := client.current(ctx)
	return client, current, err
}

// submitEdit submits an edited text and prints the accepted revision. An unchanged text is not submitted.
func (c *invocation) submitEdit(ctx context.Context, client *client, current config.Envelope, text string) (config.Envelope, error) {
	if text == current.Text {
		c.infof("nothing to change")
		return current, c.printEnvelope(current, "in force")
	}
	old, err := config.Parse(current.Text)
	if err != nil {
		return current, err
	}
	next, err := config.Parse(text)
	if err != nil {
		return current, err
	}
	for _, change := range config.Diff(old, next) {
		c.infof("%s", change)
	}
	accepted, err := c.submit(ctx, client, current.Revision, text, "")
	if err != nil {
		return accepted, err
	}
	return accepted, c.printEnvelope(accepted, "accepted")
}

// previousVersion returns the newest version of the model in the history that differs from the version in current. It searches at most
// maxRollbackSearch revisions.
func previousVersion(ctx context.Context, client *client, current config.Envelope, model string) (string, error) {
	currentVersion := ""
	e := current
	for range maxRollbackSearch {
		cfg, err := config.Parse(e.Text)
		if err != nil {
			return "", errors.Wrapf(err, "revision %d", e.Revision)
		}
		version := modelVersion(cfg, model)
		switch {
		case e.Revision == current.Revision:
			currentVersion = version
		case version != "" && version != currentVersion:
			return version, nil
		}
		if e.Revision <= 1 {
			break
		}
		if e, err = client.history(ctx, e.Revision-1); err != nil {
			return "", err
		}
	}
	return "", refusedError(errors.Newf("the history has no earlier version of model %q", model))
}

// modelVersion returns the configured version of a model, or "" when there is none.
func modelVersion(cfg *config.Config, model string) string {
	for _, m := range cfg.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return ""
}

// rolloutProgress describes the rollout of version in the data centres that the entry sees. done is set when it has finished in all
// of them. It returns an error when a rollout stopped or another version is being rolled out.
func rolloutProgress(s admin.Status, model, version string, revision uint64) (line string, done bool, err error) {
	if s.Revision < revision {
		return fmt.Sprintf("entry %s has revision %d, waiting for %d", s.Node, s.Revision, revision), false, nil
	}
	parts, matching, finished := []string{}, 0, 0
	for _, r := range s.Rollouts {
		if r.Model != model {
			continue
		}
		matching++
		if r.Version != version {
			return "", false, conflictError(errors.Newf("data centre %s rolls out %s now, not %s",
				r.DataCentre, shortVersion(r.Version), shortVersion(version)))
		}
		if r.State == admin.RolloutStopped {
			return "", false, errors.Newf("rollout stopped in data centre %s: %s", r.DataCentre, r.Message)
		}
		if r.State == admin.RolloutDone {
			finished++
		}
		parts = append(parts, fmt.Sprintf("%s %s %d/%d", r.DataCentre, r.State, r.Loaded, r.Replicas))
	}
	if matching == 0 {
		return "no replicas of the model are visible", false, nil
	}
	return strings.Join(parts, ", "), finished == matching, nil
}
