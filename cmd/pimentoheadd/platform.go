package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/directpath"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
	"github.com/pimentohead/pimentohead/platform"
)

const (
	// secretVariable is the environment variable that holds the shared secret of the links between nodes.
	secretVariable = "PIMENTOHEAD_LINK_SECRET"
	// minSecretBytes is the minimum length of the secret.
	minSecretBytes = 16
	// heapLimitFraction is the fraction of the node's memory limit that is set as the Go runtime's soft memory limit, at which garbage
	// collection becomes more frequent.
	heapLimitFraction = 0.6
	// logFlushTimeout is the timeout for writing the queued log lines at shutdown.
	logFlushTimeout = 200 * time.Millisecond
)

// runOnPlatform runs the role that args names on the platform that package platform adapts to. Its settings come from
// the platform's settings file and not from -config, and it assembles the role with package directpath, in which entries send requests
// directly to upstreams and not through agents.
func runOnPlatform(args []string, hangups <-chan os.Signal, stdout, stderr io.Writer) int {
	if len(args) != 1 || args[0] != string(message.RoleEntry) && args[0] != string(message.RoleAgent) {
		_, _ = fmt.Fprintln(stderr, "usage: pimentoheadd platform entry|agent")
		return exitUsage
	}
	s, err := platform.LoadSettings()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	secret := os.Getenv(secretVariable)
	if len(secret) < minSecretBytes {
		_, _ = fmt.Fprintf(stderr, "%s must hold at least %d bytes\n", secretVariable, minSecretBytes)
		return exitSettings
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapLimitFraction))
	}
	out := telemetry.NewAsyncWriter(stdout)
	defer out.Close(logFlushTimeout)
	log := telemetry.NewLogger(out, "info").WithValues("node", s.NodeName)
	ctx, stop := shutdownContext(hangups, log)
	defer stop()
	if err := runPlatformRole(ctx, message.Role(args[0]), s, secret, log); err != nil {
		log.Error(err, "stopped with a failure", "role", args[0])
		return exitFailure
	}
	return exitOK
}

// runPlatformRole assembles the entry or the agent from the platform's settings and runs it until ctx ends.
func runPlatformRole(ctx context.Context, role message.Role, s *platform.Settings, secret string, log logr.Logger) error {
	address := func(port int) string { return net.JoinHostPort(s.IP, strconv.Itoa(port)) }
	node := directpath.Node{
		ID: s.NodeName, DataCentre: s.DataCentre, Region: s.Region, LinkAddress: address(s.LinkPort), SeedAddress: s.SeedAddress,
		MetricsAddress: address(s.MetricsPort), Secret: []byte(secret), Seeds: s.Seeds, Store: platform.NewStore(s.StoreAddress).LogTo(log),
		Log:          log,
		VersionApply: s.Bounds.VersionApply, RecoveryGrace: s.Bounds.RecoveryGrace, GracePeriod: s.Bounds.GracePeriod,
		FirstStart: s.FirstStart, DataCentres: slices.Collect(maps.Keys(s.RegionByDataCentre)),
	}
	if role == message.RoleAgent {
		agent, err := directpath.NewAgent(directpath.AgentConfig{Node: node, UpstreamAddress: s.UpstreamAddress, Service: s.Service,
			Engine: platform.NewEngine(s.UpstreamAddress)})
		if err != nil {
			return err
		}
		return agent.Run(ctx)
	}
	entry, err := directpath.NewEntry(directpath.EntryConfig{
		Node: node, CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, ReadyPath: platform.ReadyPath,
		Decoder: platform.DocumentDecoder{}, Codec: platform.HeaderCodec{}, Origin: platform.NewOrigin(),
		RetryBudgetRatio: s.Bounds.RetryBudgetRatio, RetryBudgetFixed: s.Bounds.RetryBudgetFixed,
		RetryBudgetWindow: s.Bounds.RetryBudgetWindow, Regions: s.RegionByDataCentre,
		ColdOverrun: s.Bounds.ColdOverrun, ColdSlack: s.Bounds.ColdSlack,
		MemoryBytes: s.MemoryBytes,
	})
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
