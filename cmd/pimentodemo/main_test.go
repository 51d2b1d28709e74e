package main

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
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

// demoLogOrder lists, by log file, chains of events that the log must contain. The program orders the events of one chain; events that
// share no chain are concurrent and may be logged in either order.
var demoLogOrder = map[string][][]string{
	"agent-1.log": {
		// Run starts the tasks, among them those that maintain the links, before it logs that the agent is running.
		{"agent is running", "graceful shutdown begins"},
		// The transfer makes the version available before it logs the event, so that the swap may begin first. Run waits for the
		// transfer only at the end of the shutdown.
		{"link to entry opened", "configuration in force", "version complete", "graceful shutdown is complete"},
		// The demo stops the agent only after an entry has received the announcement that the new version is served.
		{
			"link to entry opened", "configuration in force", `"to":"swapping"`, "load ordered", "version loaded", `"to":"serving"`,
			"graceful shutdown begins", `"to":"leaving"`, "graceful shutdown is complete",
		},
	},
	"entry-1.log": {
		// The listeners are served before the entry logs that it is running.
		{"entry is running", "graceful shutdown begins", "graceful shutdown is complete"},
		// The demo waits for healthy nodes and not for links before the first submission, but the agents have received the first
		// revision over their links before the second submission, that of the rollout.
		{"link opened", "submission accepted", "graceful shutdown begins"},
		// A permit requires a link to the agent and follows the first submission. The submission of the rollout is logged concurrently.
		{"link opened", "swap permit granted", `"state":"swapping"`, "graceful shutdown begins"},
		{"submission accepted", "swap permit granted", `"state":"swapping"`, "graceful shutdown begins"},
		// All nodes are stopped concurrently, so an agent may close its link before, during or after the shutdown of the entry.
		{"link opened", "swap permit granted", `"state":"swapping"`, "link closed"},
	},
}

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
	for name, chains := range demoLogOrder {
		text, err := os.ReadFile(filepath.Join(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(checkOrder(string(text), chains)).To(Succeed(), "%s:\n%s", name, text)
	}
}

// checkOrder returns an error if the log lacks an event of a chain or has the events of a chain out of order.
func checkOrder(log string, chains [][]string) error {
	for _, chain := range chains {
		unread := log
		for _, event := range chain {
			_, after, found := strings.Cut(unread, event)
			if !found {
				return errors.Newf("%q is missing or out of order in the chain %q", event, chain)
			}
			unread = after
		}
	}
	return nil
}

// Guards against a check that accepts a log in which an event is missing or two ordered events are swapped, and against one that
// rejects an order of concurrent events. A check that demanded a single sequence failed once, because "link to entry opened" was logged
// before "agent is running".
func TestCheckOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		events []string
		// concurrent holds the events that may also be logged before the event that precedes them in events.
		concurrent []string
	}{
		"agent-1.log": {[]string{
			"agent is running", "link to entry opened", "configuration in force", "version complete", `"to":"swapping"`, "load ordered",
			"version loaded", `"to":"serving"`, "graceful shutdown begins", `"to":"leaving"`, "graceful shutdown is complete",
		}, []string{"link to entry opened", `"to":"swapping"`}},
		"entry-1.log": {[]string{
			"entry is running", "link opened", "submission accepted", "swap permit granted", `"state":"swapping"`,
			"graceful shutdown begins", "link closed", "graceful shutdown is complete",
		}, []string{"link opened", "link closed", "graceful shutdown is complete"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			chains := demoLogOrder[name]
			check := func(events []string) error { return checkOrder(strings.Join(events, "\n")+"\n", chains) }
			swap := func(first, second string) []string {
				swapped, i, j := slices.Clone(tc.events), slices.Index(tc.events, first), slices.Index(tc.events, second)
				swapped[i], swapped[j] = second, first
				return swapped
			}
			g.Expect(check(tc.events)).To(Succeed())
			for i, event := range tc.events {
				g.Expect(check(slices.Delete(slices.Clone(tc.events), i, i+1))).To(MatchError(ContainSubstring(strconv.Quote(event))))
				if i == 0 {
					continue
				}
				swapped := swap(tc.events[i-1], event)
				g.Expect(check(swapped) == nil).To(Equal(slices.Contains(tc.concurrent, event)), "%q", swapped)
			}
			for _, chain := range chains {
				for i := 1; i < len(chain); i++ {
					swapped := swap(chain[i-1], chain[i])
					g.Expect(check(swapped)).NotTo(Succeed(), "%q", swapped)
				}
			}
		})
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
