package mesh_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against nodes that wait a second for their first link after a loss of power: those that start first dial instances without power, where
// the attempt hangs. All nodes wait for that before they can load weights.
func TestNodeConnectsSoonToAnInstanceThatStartsAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		t.Cleanup(func() { time.Sleep(settleTime) })
		network := newNetwork(1)
		seed := startNode(t, options{id: "e", dataCentre: "z", role: message.RoleEntry, network: network})
		network.setSilent("a", seed.id, true)
		agent := startNode(t, options{id: "a", dataCentre: "z", role: message.RoleAgent, addr: "10.0.0.1:1", seeds: []string{seed.id}, network: network})
		time.Sleep(100 * time.Millisecond)
		network.setSilent("a", seed.id, false)
		time.Sleep(500 * time.Millisecond)
		g.Expect(agent.LinkedEntryCount()).To(Equal(1))
	})
}
