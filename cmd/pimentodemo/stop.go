package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

// stopNodes stops the entries and agents gracefully.
func (d *demo) stopNodes() {
	if d.bed == nil {
		return
	}
	d.report.step("Stop every process gracefully", func() error {
		var group errgroup.Group
		for _, n := range d.nodes() {
			group.Go(func() error { return d.bed.Process(n.ID).Stop(stopTimeout) })
		}
		return group.Wait()
	})
}

// close terminates the processes that still run and deletes the temporary files.
func (d *demo) close() {
	if d.bed != nil {
		d.bed.Close()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir) // Files that cannot be deleted stay in the system's temporary directory.
	}
}

// writeLogs writes the log of each node to dir as ID.log.
func (d *demo) writeLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "create the log directory")
	}
	for _, n := range d.nodes() {
		path := filepath.Join(dir, n.ID+".log")
		if err := os.WriteFile(path, []byte(d.bed.Process(n.ID).Log()), 0o600); err != nil {
			return errors.Wrap(err, "write the log of a node")
		}
	}
	return nil
}

// samples are commands for the -keep flag; printSamples replaces the names in braces.
const samples = `
The fleet runs until Ctrl-C. In another terminal, in this directory:

  export PIMENTOCTL_ADMIN={admin} PIMENTOCTL_TOKEN={token}
  go run ./cmd/pimentoctl status
  go run ./cmd/pimentoctl history
  go run ./cmd/pimentoctl drain -agent {agent} -wait
  go run ./cmd/pimentoctl drain -agent {agent} -cancel -wait
  go run ./cmd/pimentoctl rollout -model {model} -pause

  curl -N -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \
    -d '{"model":"{model}","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"hem tape for wool?"}]}' \
    {callers}/v1/chat/completions
  curl -i -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: my-order-1' -d '{"item":"hem-tape","rolls":2}' {callers}/orders
  curl -H 'Authorization: Bearer {key}' {callers}/stock/hem-tape
  curl {firstAdmin}/metrics
`

func (d *demo) printSamples() {
	d.report.printf("%s", strings.NewReplacer(
		"{admin}", strings.Join(d.adminURLs(), ","), "{token}", testbed.OperatorToken, "{agent}", "agent-1", "{model}", modelName,
		"{key}", callerKey, "{callers}", d.bed.CallerURL(d.entryID(0)), "{firstAdmin}", d.adminURLs()[0],
	).Replace(samples))
}
