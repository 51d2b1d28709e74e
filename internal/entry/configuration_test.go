package entry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
)

const configText = `[fleet]
name = "larkspur"
[[priority]]
name = "urgent"
target = "500ms"
share = 0.7
floor = 0.1
[[model]]
name = "hemline"
version = "0000000000000000000000000000000000000000000000000000000000000001"
[[pool]]
name = "assistant"
kind = "model"
model = "hemline"
[[route]]
path = "/v1/chat/completions"
pool = "assistant"
priority = "urgent"
idempotent = true
[[caller]]
name = "tailor-row"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000002"
`

// Guards against configuration messages that are not passed to the syncer, so that other entries keep an old configuration, and
// against a status that omits the agents of another data centre.
func TestConfigurationAndStatusReachOtherEntries(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	waitUntilLinked(g, one, two)
	agent := newAgent(t, "agent-1", "b", "assistant", 1)
	agent.announce.LoadError = "out of memory"
	agent.connect(two, nil)
	active, err := config.NewActive(config.Envelope{Revision: 2, Base: 1, Digest: config.Digest(configText), Text: configText})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(two.Holder().Apply(active)).To(Succeed())
	g.Eventually(one.Holder().Revision, waitTimeout).Should(Equal(uint64(2)))
	g.Eventually(func() []message.State {
		var states []message.State
		for _, node := range one.Status().Nodes {
			if node.ID == "agent-1" {
				states = append(states, node.State)
			}
		}
		return states
	}, waitTimeout).Should(Equal([]message.State{message.StateServing}))
	rollout := one.Status().Rollouts[0]
	g.Expect(rollout.DataCentre).To(Equal("b"))
	g.Expect(rollout.Message).To(Equal("agent-1: out of memory"))
}
