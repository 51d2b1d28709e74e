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
	// modelName and servicePool are the names that the questionnaire gives to its model and to its pool of plain services.
	modelName   = "hemline"
	servicePool = "order-desk"
	// versionChunks and chunkBytes give a version of 4 MiB.
	versionChunks = 16
	chunkBytes    = 256 << 10
	// tokenTime is the time of one decoding step of the fake engines.
	tokenTime = 10 * time.Millisecond
	// stopTimeout limits the graceful shutdown of each node, inForceTimeout the wait until a revision is in force on every node.
	stopTimeout    = 15 * time.Second
	inForceTimeout = 15 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// demo holds the state of one run of the demo.
type demo struct {
	report *report
	// bed is the running fleet, nil before it was started.
	bed *testbed.Cluster
	// dir is the temporary directory of the configuration file.
	dir string
	// version is the digest of the version that is rolled out.
	version string
	// firstOrder is the response to the first submission of the order.
	firstOrder testbed.Reply
}

// runSteps runs the steps in order. It stops at the first failure, because each step depends on the previous ones.
func (d *demo) runSteps(ctx context.Context) {
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
		{"Send a streamed chat request", d.streamChat},
		{"Place an order", d.placeOrder},
		{"Place the same order again through the other entry", d.repeatOrder},
		{"Look up the stock", d.lookUpStock},
		{"Send a request with a wrong key", d.sendWrongKey},
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
			d.report.detail("%-9s %-10s entry  callers http://%s  admin http://%s", n.ID, n.DataCentre, n.CallerAddress, n.AdminAddress)
		} else {
			d.report.detail("%-9s %-10s agent  %s, upstream %s  admin http://%s", n.ID, n.DataCentre, n.Kind, n.Upstream, n.AdminAddress)
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

// digest validates the configuration and returns its digest, which identifies the configuration that is approved for submission.
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

// submit submits the configuration and waits until it is in force on every node.
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

// awaitRevision waits until every node has the given configuration revision or a later one in force.
func (d *demo) awaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		current, err := d.countNodesAt(ctx, revision)
		if err == nil && current == len(d.nodes()) {
			d.report.detail("in force on %d nodes", current)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.CombineErrors(errors.Newf("revision %d is in force on %d of %d nodes", revision, current, len(d.nodes())), err)
		}
	}
}

// countNodesAt counts the nodes on which revision or a later one is in force. Each entry reports its own revision and those of the nodes
// that it sees.
func (d *demo) countNodesAt(ctx context.Context, revision uint64) (int, error) {
	reached := map[string]bool{}
	for _, e := range d.bed.Nodes(message.RoleEntry) {
		status, err := d.bed.Status(ctx, e.ID)
		if err != nil {
			return 0, err
		}
		reached[e.ID] = status.Revision >= revision
		for _, n := range status.Nodes {
			reached[n.ID] = reached[n.ID] || n.Revision >= revision
		}
	}
	count := 0
	for _, ok := range reached {
		if ok {
			count++
		}
	}
	return count, nil
}

// rollOut creates a model version with new content at the origin and rolls it out to every engine.
func (d *demo) rollOut(ctx context.Context) error {
	spec := fake.VersionSpec{Model: modelName, Seed: uint64(time.Now().UnixNano()), Chunks: versionChunks, ChunkBytes: chunkBytes}
	info, err := d.bed.CreateVersion(ctx, spec)
	if err != nil {
		return err
	}
	d.version = info.Version
	d.report.detail("version %s, %d chunks, %d KiB", shortVersion(d.version), len(info.Chunks), info.Bytes>>10)
	progress := &lineWriter{emit: func(text string) { d.report.detail("  %s", text) }}
	if _, err := d.pimentoctl(ctx, progress,
		"rollout", "-model", modelName, "-version", d.version, "-wait", "-wait-timeout", "60s"); err != nil {
		return err
	}
	return d.checkRollout(ctx, info)
}

// checkRollout checks that every engine serves the version, and prints how many copies of it the origin sent. Each data centre has one
// entry, and agents are counted in the status of the entry of their own data centre, so that none is counted twice.
func (d *demo) checkRollout(ctx context.Context, info fake.VersionInfo) error {
	loaded := 0
	for _, e := range d.bed.Nodes(message.RoleEntry) {
		status, err := d.bed.Status(ctx, e.ID)
		if err != nil {
			return err
		}
		loaded += countLoaded(status, e.DataCentre, d.version)
	}
	engines := 0
	for _, n := range d.nodes() {
		if n.Kind == "model" {
			engines++
		}
	}
	if loaded != engines {
		return errors.Newf("%d of %d engines serve the version", loaded, engines)
	}
	served, err := d.bed.OriginStats(ctx, testbed.OriginName)
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

// countLoaded counts the agents in status that belong to the data centre and whose engine serves the version.
func countLoaded(status admin.Status, dataCentre, version string) int {
	count := 0
	for _, n := range status.Nodes {
		if n.Role == message.RoleAgent && n.DataCentre == dataCentre && n.Version == version {
			count++
		}
	}
	return count
}

// pimentoctl runs the operators' tool and returns its standard output. Standard error is copied to progress, unless that is nil, and
// is part of the error on a failure.
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
		urls = append(urls, "http://"+n.AdminAddress)
	}
	return urls
}

// lineWriter calls emit with each complete line, without its newline.
type lineWriter struct {
	emit    func(text string)
	partial []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.partial = append(w.partial, p...)
	for {
		i := bytes.IndexByte(w.partial, '\n')
		if i < 0 {
			return len(p), nil
		}
		w.emit(string(w.partial[:i]))
		w.partial = w.partial[i+1:]
	}
}

// shortVersionLength is the number of digits of a version digest that is printed.
const shortVersionLength = 12

func shortVersion(version string) string { return version[:min(len(version), shortVersionLength)] }
