package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const (
	questionnaireFile = "examples/larkspur/questionnaire.toml"
	modelName         = "hemline"
	servicePool       = "order-desk"
	// versionChunks and chunkBytes give a version of 4 MiB.
	versionChunks = 16
	chunkBytes    = 256 << 10
	tokenTime     = 10 * time.Millisecond
	stopTimeout   = 15 * time.Second
	inForceWait   = 15 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// demo is one run.
type demo struct {
	report *report
	bed    *testbed.Bed
	dir    string
	// version is the digest of the version that is rolled out.
	version string
	// firstOrder is the answer to the order.
	firstOrder testbed.Reply
}

// play runs the steps. Later steps need the earlier ones, so it ends at the first failure.
func (d *demo) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for _, s := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"Build the programs and start the fleet", d.startFleet},
		{"Generate the configuration from " + questionnaireFile + " and validate it", d.generate},
		{"Submit the approved digest and wait until it is in force on every node", d.submit},
		{"Create a model version at the origin and roll it out", d.rollOut},
		{"Send a streamed chat request", d.chat},
		{"Place an order", d.placeOrder},
		{"Place the same order again through the other entry", d.repeatOrder},
		{"Look up the stock", d.lookUpStock},
		{"Send a request with a wrong key", d.wrongKey},
	} {
		if !d.report.step(s.name, func() error { return s.run(ctx) }) {
			return
		}
	}
}

func (d *demo) startFleet(ctx context.Context) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "pimentodemo-"); err != nil {
		return err
	}
	d.bed, err = testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{
			{Name: "saskatoon", Region: "prairie", Entries: 1, Models: 2, Services: 1},
			{Name: "regina", Region: "prairie", Entries: 1, Models: 1},
		},
		ServicePool: servicePool, NoConfig: true, ReadyTimeout: demoTimeout,
		Engine: testbed.Engine{TokenTime: tokenTime},
	})
	if err != nil {
		return err
	}
	for _, n := range d.nodes() {
		if n.Role == message.RoleEntry {
			d.report.detail("%-9s %-10s entry  callers http://%s  admin http://%s", n.ID, n.DataCentre, n.Caller, n.Admin)
		} else {
			d.report.detail("%-9s %-10s agent  %s, gate to %s  admin http://%s", n.ID, n.DataCentre, n.Kind, n.Upstream, n.Admin)
		}
	}
	return nil
}

// nodes returns the entries, then the agents.
func (d *demo) nodes() []*testbed.Node {
	return append(d.bed.Nodes(message.RoleEntry), d.bed.Nodes(message.RoleAgent)...)
}

func (d *demo) configFile() string { return filepath.Join(d.dir, "fleet.toml") }

func (d *demo) generate(ctx context.Context) error {
	if _, err := d.pimentoctl(ctx, nil, "generate", "-out", d.configFile(), filepath.FromSlash(questionnaireFile)); err != nil {
		return err
	}
	digest, err := d.digest(ctx)
	if err == nil {
		d.report.detail("valid, digest %s", digest)
	}
	return err
}

// digest returns what the review board approves.
func (d *demo) digest(ctx context.Context) (string, error) {
	var valid struct {
		Digest string `json:"digest"`
	}
	out, err := d.pimentoctl(ctx, nil, "validate", "-o", "json", d.configFile())
	if err != nil {
		return "", err
	}
	return valid.Digest, errors.Wrap(json.Unmarshal(out, &valid), "pimentoctl validate")
}

func (d *demo) submit(ctx context.Context) error {
	digest, err := d.digest(ctx)
	if err != nil {
		return err
	}
	out, err := d.pimentoctl(ctx, nil, "submit", "-digest", digest, d.configFile())
	if err != nil {
		return err
	}
	d.report.detail("%s", bytes.TrimSpace(out))
	return d.awaitRevision(ctx, 1)
}

// awaitRevision waits until every node reports at least revision.
func (d *demo) awaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		have, err := d.countAt(ctx, revision)
		if err == nil && have == len(d.nodes()) {
			d.report.detail("in force on %d nodes", have)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.CombineErrors(errors.Newf("revision %d is in force on %d of %d nodes", revision, have, len(d.nodes())), err)
		}
	}
}

// countAt counts the nodes that have revision. Each entry reports itself and the nodes that it sees.
func (d *demo) countAt(ctx context.Context, revision uint64) (int, error) {
	have := map[string]bool{}
	for _, e := range d.bed.Nodes(message.RoleEntry) {
		status, err := d.bed.Status(ctx, e.ID)
		if err != nil {
			return 0, err
		}
		have[e.ID] = status.Revision >= revision
		for _, n := range status.Nodes {
			have[n.ID] = have[n.ID] || n.Revision >= revision
		}
	}
	count := 0
	for _, yes := range have {
		if yes {
			count++
		}
	}
	return count, nil
}

func (d *demo) rollOut(ctx context.Context) error {
	spec := fake.VersionSpec{Model: modelName, Seed: uint64(time.Now().UnixNano()), Chunks: versionChunks, ChunkBytes: chunkBytes}
	info, err := d.bed.CreateVersion(ctx, spec)
	if err != nil {
		return err
	}
	d.version = info.Version
	d.report.detail("version %s, %d chunks, %d KiB", short(d.version), len(info.Chunks), info.Bytes>>10)
	progress := &lineWriter{line: func(text string) { d.report.detail("  %s", text) }}
	if _, err := d.pimentoctl(ctx, progress, "rollout", "-model", modelName, "-version", d.version, "-wait", "-wait-timeout", "60s"); err != nil {
		return err
	}
	return d.checkRollout(ctx, info)
}

// checkRollout compares what every engine serves, and what the origin sent.
func (d *demo) checkRollout(ctx context.Context, info fake.VersionInfo) error {
	loaded := 0
	for _, e := range d.bed.Nodes(message.RoleEntry) {
		status, err := d.bed.Status(ctx, e.ID)
		if err != nil {
			return err
		}
		loaded += loadedIn(status, e.DataCentre, d.version)
	}
	models := 0
	for _, n := range d.nodes() {
		if n.Kind == "model" {
			models++
		}
	}
	if loaded != models {
		return errors.Newf("%d of %d engines serve the version", loaded, models)
	}
	served, err := d.bed.Served(ctx, testbed.OriginName)
	if err != nil {
		return err
	}
	var sent int64
	for _, chunk := range info.Chunks {
		sent += served.Chunks[chunk]
	}
	d.report.detail("%d engines serve it; the origin sent %.2f copies", loaded, float64(sent)/float64(info.Bytes))
	return nil
}

func loadedIn(status admin.Status, dataCentre, version string) int {
	count := 0
	for _, n := range status.Nodes {
		if n.Role == message.RoleAgent && n.DataCentre == dataCentre && n.Version == version {
			count++
		}
	}
	return count
}

// pimentoctl runs the tool as an operator would. progress gets its notes; nil reports them only with a failure.
func (d *demo) pimentoctl(ctx context.Context, progress io.Writer, args ...string) ([]byte, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, d.bed.Binary("pimentoctl"), args...) //nolint:gosec // a program that was built here
	cmd.Env = append(os.Environ(), "PIMENTOCTL_ADMIN="+strings.Join(d.adminURLs(), ","), "PIMENTOCTL_TOKEN="+testbed.OperatorToken)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if progress != nil {
		cmd.Stderr = io.MultiWriter(&stderr, progress)
	}
	err := cmd.Run()
	return stdout.Bytes(), errors.Wrapf(err, "pimentoctl %s: %s", args[0], bytes.TrimSpace(stderr.Bytes()))
}

func (d *demo) adminURLs() []string {
	var urls []string
	for _, n := range d.bed.Nodes(message.RoleEntry) {
		urls = append(urls, "http://"+n.Admin)
	}
	return urls
}

// lineWriter passes on whole lines.
type lineWriter struct {
	line func(text string)
	rest []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			return len(p), nil
		}
		w.line(string(w.rest[:i]))
		w.rest = w.rest[i+1:]
	}
}

const shortDigits = 12

func short(version string) string { return version[:min(len(version), shortDigits)] }
