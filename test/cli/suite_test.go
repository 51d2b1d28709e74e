package cli_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

const wait = 30 * time.Second

// bed is shared by all specs. Specs that change the configuration run in order and say so.
var bed *testbed.Bed

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command line")
}

var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	bed, err = testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{{Name: "fyn", Region: "west", Entries: 1, Models: 2, Services: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(bed.Close)
}, NodeTimeout(2*wait))

var _ = AfterSuite(testbed.RemoveBinaries)

// result is what a program that has ended left.
type result struct {
	code           int
	stdout, stderr string
}

// program runs one of the built programs to its end, with nothing in its environment but env.
func program(ctx context.Context, env []string, name string, args ...string) result {
	GinkgoHelper()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, bed.Binary(name), args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = env, &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		Expect(err).NotTo(HaveOccurred())
	}
	return result{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// pimentoctl runs a subcommand against the fleet. The first of its entries does not answer.
func pimentoctl(ctx context.Context, args ...string) result {
	GinkgoHelper()
	return pimentoctlWith(ctx, testbed.OperatorToken, args...)
}

func pimentoctlWith(ctx context.Context, token string, args ...string) result {
	GinkgoHelper()
	admin := "http://127.0.0.1:1,http://" + entry().AdminAddress
	return program(ctx, []string{"PIMENTOCTL_ADMIN=" + admin, "PIMENTOCTL_TOKEN=" + token}, "pimentoctl", args...)
}

func entry() *testbed.Node { return bed.Nodes(message.RoleEntry)[0] }

// inForce returns the envelope in force on the entry.
func inForce(ctx context.Context) config.Envelope {
	GinkgoHelper()
	envelope, err := bed.Config(ctx, entry().ID)
	Expect(err).NotTo(HaveOccurred())
	return envelope
}

// file writes a temporary file.
func file(text string) string {
	GinkgoHelper()
	f, err := os.CreateTemp(GinkgoT().TempDir(), "*.toml")
	Expect(err).NotTo(HaveOccurred())
	_, err = f.WriteString(text)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Close()).To(Succeed())
	return f.Name()
}

// edited returns the configuration in force with one replacement.
func edited(ctx context.Context, old, replacement string) string {
	GinkgoHelper()
	text := inForce(ctx).Text
	Expect(text).To(ContainSubstring(old))
	return strings.Replace(text, old, replacement, 1)
}
