package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a demo that a newcomer runs and that does not work, and against a report of success without the results.
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
	files, err := os.ReadDir(logs)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(6))
}

// Guards against exit codes that differ from the documented ones, and against a failed step that is reported as a success.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(run([]string{"-help"}, &out, &out)).To(Equal(exitOK))
	g.Expect(out.String()).To(ContainSubstring("Exit codes:"))
	g.Expect(run([]string{"-nonsense"}, &out, &out)).To(Equal(exitUsage))
	g.Expect(run([]string{"argument"}, &out, &out)).To(Equal(exitUsage))
	// Without go.mod above the directory there is nothing to build.
	t.Chdir(t.TempDir())
	out.Reset()
	g.Expect(run(nil, &out, &out)).To(Equal(exitFailure))
	g.Expect(out.String()).To(ContainSubstring("FAILED: 1 of 1 steps"))
}
