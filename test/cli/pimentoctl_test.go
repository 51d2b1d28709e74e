package cli_test

import (
	"encoding/json"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/ctl"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/questionnaire"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func decode[T any](r result) T {
	GinkgoHelper()
	var value T
	Expect(r.code).To(Equal(ctl.ExitOK), r.stderr)
	Expect(json.Unmarshal([]byte(r.stdout), &value)).To(Succeed(), r.stdout)
	return value
}

// Guards against local subcommands that need a fleet, overwrite files, or print something else than the documents.
var _ = Describe("pimentoctl without a fleet", func() {
	It("shows help for every subcommand", func(ctx SpecContext) {
		general := program(ctx, nil, "pimentoctl", "-help")
		Expect(general.code).To(Equal(ctl.ExitOK))
		Expect(general.stdout).To(ContainSubstring("Exit codes:"))
		for _, name := range strings.Fields("init generate explain validate diff submit status rollout drain history key") {
			Expect(general.stdout).To(ContainSubstring("  " + name + " "))
			help := program(ctx, nil, "pimentoctl", name, "-help")
			Expect(help.code).To(Equal(ctl.ExitOK), name)
			Expect(help.stdout).To(HavePrefix("Usage: pimentoctl " + name))
			Expect(help.stderr).To(BeEmpty())
		}
	}, NodeTimeout(wait))

	It("leads from an empty questionnaire to a digest", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		answers, fleet := filepath.Join(dir, "questionnaire.toml"), filepath.Join(dir, "fleet.toml")
		for range 2 { // The second time the files exist and stay as they are.
			created := program(ctx, nil, "pimentoctl", "init", "-out", answers)
			generated := program(ctx, nil, "pimentoctl", "generate", "-out", fleet, answers)
			Expect(generated.code).To(Equal(created.code))
		}
		Expect(program(ctx, nil, "pimentoctl", "init", "-out", answers).code).To(Equal(ctl.ExitUsage))
		text := program(ctx, nil, "pimentoctl", "generate", answers).stdout
		valid := decode[map[string]string](program(ctx, nil, "pimentoctl", "validate", "-o", "json", fleet))
		Expect(valid).To(HaveKeyWithValue("digest", config.Digest(text)))
		reasons := decode[[]questionnaire.Reason](program(ctx, nil, "pimentoctl", "explain", "-o", "json", "-key", "canary", answers))
		Expect(reasons).To(HaveLen(1))
		Expect(reasons[0].Reason).NotTo(BeEmpty())
		key := decode[map[string]string](program(ctx, nil, "pimentoctl", "key", "-o", "json"))
		Expect(config.Digest(key["key"])).To(Equal(key["key_sha256"]))
		changed := file(strings.Replace(text, "canary = 1", "canary = 2", 1))
		changes := decode[[]config.Change](program(ctx, nil, "pimentoctl", "diff", "-o", "json", fleet, changed))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].String()).To(ContainSubstring("canary 1 -> 2"))
	}, NodeTimeout(wait))

	DescribeTable("tells wrong command lines and documents apart",
		func(ctx SpecContext, code int, message string, args ...string) {
			if args[len(args)-1] == "BROKEN" {
				args[len(args)-1] = file("[fleet]\nnam = \"a\"\n")
			}
			r := program(ctx, nil, "pimentoctl", args...)
			Expect(r.code).To(Equal(code), r.stderr)
			Expect(r.stderr).To(ContainSubstring(message))
			Expect(r.stdout).To(BeEmpty())
		},
		Entry("unknown subcommand", NodeTimeout(wait), ctl.ExitUsage, "unknown subcommand", "nonsense"),
		Entry("unknown flag", NodeTimeout(wait), ctl.ExitUsage, "-nonsense", "status", "-nonsense"),
		Entry("unknown output", NodeTimeout(wait), ctl.ExitUsage, "-o must be", "key", "-o", "xml"),
		Entry("missing file", NodeTimeout(wait), ctl.ExitUsage, "no such file", "validate", "/nonexistent"),
		Entry("no entry named", NodeTimeout(wait), ctl.ExitUsage, "PIMENTOCTL_ADMIN", "status"),
		Entry("no token", NodeTimeout(wait), ctl.ExitUsage, "PIMENTOCTL_TOKEN", "status", "-admin", "http://127.0.0.1:1"),
		Entry("faulty configuration", NodeTimeout(wait), ctl.ExitRefused, `line 2: key "fleet.nam": unknown key`, "validate", "BROKEN"),
		Entry("faulty questionnaire", NodeTimeout(wait), ctl.ExitRefused, `key "fleet": unknown key`, "generate", "BROKEN"),
		Entry("short version", NodeTimeout(wait), ctl.ExitUsage, "64 lower-case hex digits", "rollout", "-model", "m", "-version", "1"),
	)
})

// Guards against subcommands that work on a stand-in only, and against refused ones that change the fleet.
var _ = Describe("pimentoctl against a running fleet", Ordered, func() {
	It("shows nodes and history", func(ctx SpecContext) {
		status := decode[admin.Status](pimentoctl(ctx, "status", "-o", "json"))
		Expect(status.Node).To(Equal("entry-1"))
		Expect(status.Nodes).To(HaveLen(4))
		Expect(pimentoctl(ctx, "status").stdout).To(MatchRegexp(`agent-1 +agent +fyn +serving`))
		list := decode[[]config.Envelope](pimentoctl(ctx, "history", "-o", "json"))
		Expect(list).To(HaveLen(1))
		Expect(pimentoctl(ctx, "history", "-revision", "1").stdout).To(Equal(inForce(ctx).Text))
		missing := pimentoctl(ctx, "history", "-revision", "99")
		Expect(missing.code).To(Equal(ctl.ExitFailed))
		Expect(missing.stderr).To(ContainSubstring("99"))
	}, NodeTimeout(wait))

	It("changes nothing when a submission is refused", func(ctx SpecContext) {
		before := inForce(ctx)
		changed := file(edited(ctx, `request_timeout = "30s"`, `request_timeout = "20s"`))
		faulty := file(edited(ctx, `request_timeout = "30s"`, `request_timeout = "0s"`))
		for _, refused := range []struct {
			code int
			want string
			run  result
		}{
			{ctl.ExitUsage, "nothing was submitted; approve with -digest", pimentoctl(ctx, "submit", changed)},
			{ctl.ExitRefused, "was approved", pimentoctl(ctx, "submit", "-digest", before.Digest, changed)},
			{ctl.ExitRefused, `key "limits.request_timeout": must be a positive duration`, pimentoctl(ctx, "submit", "-yes", faulty)},
			{ctl.ExitConflict, "request_timeout 30s -> 20s", pimentoctl(ctx, "submit", "-yes", "-base", "0", changed)},
			{ctl.ExitFailed, "an operator token is required", pimentoctlWith(ctx, "wrong", "submit", "-yes", changed)},
			{ctl.ExitFailed, "an operator token is required", pimentoctlWith(ctx, testbed.CallerKey("small-1"), "status")},
			{ctl.ExitRefused, `no model "other"`, pimentoctl(ctx, "rollout", "-model", "other", "-pause")},
			{ctl.ExitFailed, "connection refused", program(ctx, nil, "pimentoctl", "status", "-timeout", "200ms", "-admin", "http://127.0.0.1:1",
				"-token-file", file("token"))},
		} {
			Expect(refused.run.code).To(Equal(refused.code), refused.run.stderr)
			Expect(refused.run.stderr).To(ContainSubstring(refused.want))
			Expect(refused.run.stdout).To(BeEmpty())
		}
		Expect(inForce(ctx)).To(Equal(before))
	}, NodeTimeout(wait))

	It("submits exactly the approved text", func(ctx SpecContext) {
		text := edited(ctx, `request_timeout = "30s"`, `request_timeout = "20s"`)
		path := file(text)
		Expect(pimentoctl(ctx, "diff", path).stdout).To(ContainSubstring("request_timeout 30s -> 20s"))
		accepted := decode[config.Envelope](pimentoctl(ctx, "submit", "-digest", config.Digest(text), "-id", "cli-1", "-o", "json", path))
		Expect(accepted.Revision).To(BeEquivalentTo(2))
		Expect(inForce(ctx).Text).To(Equal(text))
		again := decode[config.Envelope](pimentoctl(ctx, "submit", "-digest", config.Digest(text), "-id", "cli-1", "-base", "1", "-o", "json", path))
		Expect(again.Revision).To(Equal(accepted.Revision), "the same submission ID is accepted once")
	}, NodeTimeout(wait))

	It("rolls a version out, pauses, resumes and rolls back", func(ctx SpecContext) {
		info, err := bed.CreateVersion(ctx, fake.VersionSpec{Model: testbed.ModelName, Seed: 2, Chunks: 4, ChunkBytes: 64 << 10})
		Expect(err).NotTo(HaveOccurred())
		accepted := decode[config.Envelope](pimentoctl(ctx, "rollout", "-model", testbed.ModelName, "-version", info.Version, "-wait", "-o", "json"))
		expectVersion(decode[admin.Status](pimentoctl(ctx, "status", "-o", "json")), info.Version, accepted.Revision)
		Expect(pimentoctl(ctx, "rollout", "-model", testbed.ModelName, "-pause").code).To(Equal(ctl.ExitOK))
		Expect(inForce(ctx).Text).To(ContainSubstring("paused = true"))
		Expect(pimentoctl(ctx, "rollout", "-model", testbed.ModelName, "-resume").code).To(Equal(ctl.ExitOK))
		back := decode[config.Envelope](pimentoctl(ctx, "rollout", "-model", testbed.ModelName, "-rollback", "-wait", "-o", "json"))
		expectVersion(decode[admin.Status](pimentoctl(ctx, "status", "-o", "json")), bed.Version, back.Revision)
	}, NodeTimeout(2*wait))

	It("drains an agent and takes it back", func(ctx SpecContext) {
		state := func() message.State {
			status := decode[admin.Status](pimentoctl(ctx, "status", "-o", "json"))
			for _, n := range status.Nodes {
				if n.ID == "agent-2" {
					return n.State
				}
			}
			return ""
		}
		drained := pimentoctl(ctx, "drain", "-agent", "agent-2", "-wait")
		Expect(drained.code).To(Equal(ctl.ExitOK), drained.stderr)
		Expect(state()).To(Equal(message.StateLeaving))
		back := pimentoctl(ctx, "drain", "-agent", "agent-2", "-cancel", "-wait")
		Expect(back.code).To(Equal(ctl.ExitOK), back.stderr)
		Expect(state()).To(Equal(message.StateServing))
		misspelt := pimentoctl(ctx, "drain", "-agent", "agent-22")
		Expect(misspelt.stderr).To(ContainSubstring(`warning: no agent "agent-22"`))
		Expect(pimentoctl(ctx, "drain", "-agent", "agent-22", "-cancel").code).To(Equal(ctl.ExitOK))
	}, NodeTimeout(wait))
})

func expectVersion(status admin.Status, version string, revision uint64) {
	GinkgoHelper()
	Expect(status.Revision).To(Equal(revision))
	for _, n := range status.Nodes {
		if n.Model != "" {
			Expect(n.Version).To(Equal(version), n.ID)
		}
	}
}
