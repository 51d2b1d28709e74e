package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
)

const defaultWaitInterval = time.Second

// waitFor polls the status until progress reports done. It prints each new progress line on standard error.
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
	last := ""
	for {
		status, err := client.status(ctx)
		line, done := "", false
		if err == nil {
			line, done, err = progress(status)
		}
		if err != nil {
			return errors.Wrap(err, "the change was accepted; waiting failed")
		}
		if line != last {
			c.infof("%s", line)
			last = line
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "the change was accepted; waiting ended at %q", last)
		case <-ticker.C:
		}
	}
}
