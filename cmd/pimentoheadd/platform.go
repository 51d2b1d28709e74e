package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/straight"
	"github.com/pimentohead/pimentohead/internal/telemetry"
	"github.com/pimentohead/pimentohead/platform"
)

const (
	// secretVariable names the environment variable with the secret of links between nodes.
	secretVariable = "PIMENTOHEAD_LINK_SECRET"
	// minSecret is the shortest secret in bytes.
	minSecret = 16
	// memoryShare is the part of the memory limit that the heap may grow to before the collector works harder.
	memoryShare = 0.6
	// logPatience is how long the last log lines may take.
	logPatience = 200 * time.Millisecond
)

// runOnPlatform runs a role with the settings of the platform. The second argument is the role.
func runOnPlatform(args []string, stdout, stderr io.Writer) int {
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
	if len(secret) < minSecret {
		_, _ = fmt.Fprintf(stderr, "%s must hold at least %d bytes\n", secretVariable, minSecret)
		return exitSettings
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	out := telemetry.NewAsyncWriter(stdout)
	defer out.Close(logPatience)
	log := telemetry.NewLogger(out, "info").WithValues("node", s.NodeName)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go ignoreReload(ctx, log)
	if err := runPlatformRole(ctx, message.Role(args[0]), s, secret, log); err != nil {
		log.Error(err, "stopped with a failure", "role", args[0])
		return exitFailure
	}
	return exitOK
}

// ignoreReload logs SIGHUP. What this process uses of its settings does not change while it runs; the platform starts it anew
// with new ones.
func ignoreReload(ctx context.Context, log logr.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("settings reloaded")
		}
	}
}

func runPlatformRole(ctx context.Context, role message.Role, s *platform.Settings, secret string, log logr.Logger) error {
	at := func(port int) string { return net.JoinHostPort(s.IP, strconv.Itoa(port)) }
	node := straight.Node{
		ID: s.NodeName, DataCentre: s.DataCentre, Region: s.Region, LinkAddress: at(s.LinkPort), SeedAddress: s.SeedAddress,
		MetricsAddress: at(s.MetricsPort), Secret: []byte(secret), Seeds: s.Seeds, Store: platform.NewStore(s.StoreAddress), Log: log,
		VersionApply: s.Bounds.VersionApply, GracePeriod: s.Bounds.GracePeriod,
	}
	if role == message.RoleAgent {
		agent, err := straight.NewAgent(straight.AgentConfig{Node: node, UpstreamAddress: s.UpstreamAddress, Service: s.Service,
			Engine: platform.NewEngine(s.UpstreamAddress)})
		if err != nil {
			return err
		}
		return agent.Run(ctx)
	}
	entry, err := straight.NewEntry(straight.EntryConfig{
		Node: node, CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, ReadyPath: platform.ReadyPath,
		Decoder: platform.DocumentDecoder{}, Codec: platform.HeaderCodec{}, Origin: platform.NewOrigin(),
		RetryBudgetRatio: s.Bounds.RetryBudgetRatio, RetryBudgetSlack: s.Bounds.RetryBudgetSlack, RetryBudgetWindow: s.Bounds.RetryBudgetWindow,
	})
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
