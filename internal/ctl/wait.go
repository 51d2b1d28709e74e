package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
)

const defaultWaitInterval = time.Second

// waitFor polls the fleet status until progress returns done or an error, or until the timeout. It prints each progress line that
// differs from the last one to standard error.
func (c *invocation) waitFor(ctx context.Context, client *client, timeout time.Duration,
	progress func(admin.Status) (line string, done bool, err error),
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	interval := c.env.WaitInterval
	if interval <= 0 {
		interval = defaultWaitInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastLine := ""
	for {
		status, err := client.status(ctx)
		line, done := "", false
		if err == nil {
			line, done, err = progress(status)
		}
		if err != nil {
			return errors.Wrap(err, "the change was accepted; waiting failed")
		}
		if line != lastLine {
			c.infof("%s", line)
			lastLine = line
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "the change was accepted; waiting ended at %q", lastLine)
		case <-ticker.C:
		}
	}
}
