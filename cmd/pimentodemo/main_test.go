package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

// Guards against a demo that fails, and against a demo that reports success although a step did not produce its result.
func TestDemo(t *testing.T) {
	g := NewWithT(t)
	t.Chdir(filepath.Join("..", ".."))
	logs := t.TempDir()
	var out, errs bytes.Buffer
	g.Expect(run([]string{"-logs", logs}, &out, &errs)).To(Equal(exitOK), "%s%s", &out, &errs)
	for _, want := range []string{
		"valid, digest", "accepted: revision 1", "in force on 6 nodes", "3 engines serve it",
		"the recorded answer; the order desk ran the order 1 time(s)", `"stock":`, "status 401", "All 10 steps went as expected",
	} {
		g.Expect(out.String()).To(ContainSubstring(want))
	}
	checkLogs(g, logs)
}

// maxLogLines is the most lines that a process may log; it is about twice the number that a process logs during the demo.
const maxLogLines = 60

// checkLogs fails when a log lacks an event or has it out of order, contains a secret or an error, or has too many lines.
func checkLogs(g *WithT, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(6))
	for _, file := range files {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for _, secret := range []string{callerKey, testbed.OperatorToken, "testbed-link-secret"} {
			g.Expect(string(text)).NotTo(ContainSubstring(secret), file)
		}
		g.Expect(strings.Count(string(text), "\n")).To(BeNumerically("<=", maxLogLines), file)
		g.Expect(string(text)).NotTo(ContainSubstring(`"level":"ERROR"`), file)
	}
	for name, events := range map[string][]string{
		"agent-1.log": {
			"agent is running", "link to entry opened", "configuration in force", "version complete", `"to":"swapping"`, "load ordered",
			"version loaded", `"to":"serving"`, "graceful shutdown begins", `"to":"leaving"`, "graceful shutdown is complete",
		},
		"entry-1.log": {
			"entry is running", "link opened", "submission accepted", "swap permit granted", `"state":"swapping"`,
			"graceful shutdown begins", "link closed", "graceful shutdown is complete",
		},
	} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		unread := string(text)
		for _, event := range events {
			_, after, found := strings.Cut(unread, event)
			g.Expect(found).To(BeTrue(), "%s: %q is missing or out of order:\n%s", name, event, text)
			unread = after
		}
	}
}

// Guards against exit codes that differ from the documented ones, and against a failed step that is reported as a success.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(run([]string{"-help"}, &out, &out)).To(Equal(exitOK))
	g.Expect(out.String()).To(ContainSubstring("Exit codes:"))
	g.Expect(run([]string{"-nonsense"}, &out, &out)).To(Equal(exitUsage))
	g.Expect(run([]string{"argument"}, &out, &out)).To(Equal(exitUsage))
	// The build step fails because no go.mod is found.
	t.Chdir(t.TempDir())
	out.Reset()
	g.Expect(run(nil, &out, &out)).To(Equal(exitFailure))
	g.Expect(out.String()).To(ContainSubstring("FAILED: 1 of 1 steps"))
}
