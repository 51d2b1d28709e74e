package membership

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against receivers whose view differs from the sender's after deltas, and against sending whole views or empty deltas:
// a whole view of 5,000 agents, the target size of a fleet, takes 0.7 MB (see BenchmarkView).
func TestDeltasReproduceTheSendersView(t *testing.T) {
	g := NewWithT(t)
	conn := connect(t, message.Hello{NodeID: "entry-2", Role: message.RoleEntry})
	received := NewViews()
	a, b := message.Peer{NodeID: "a", Address: "1"}, message.Peer{NodeID: "b", Address: "2"}
	changedB := message.Peer{NodeID: "b", Address: "2", Versions: []string{"v"}}
	c := message.Peer{NodeID: "c"}
	var sent []message.Peer
	for _, step := range []struct{ next, delta []message.Peer }{
		{[]message.Peer{a, b}, []message.Peer{a, b}},
		{[]message.Peer{a, changedB, c}, []message.Peer{changedB, c}},
		{[]message.Peer{changedB, c}, nil},
		{[]message.Peer{a, changedB}, []message.Peer{a}},
	} {
		view := DiffPeers(sent, step.next)
		g.Expect(view.Peers).To(Equal(step.delta))
		received.Apply(conn, view)
		sent = step.next
		g.Expect(received.Merge(nil, nil)).To(Equal(sent))
	}
	g.Expect(DiffPeers(sent, sent)).To(BeNil())
	received.Remove(conn)
	g.Expect(received.Merge(nil, nil)).To(BeEmpty())
}

// Guards against agents that lose the peers of one entry because another entry, which has no link to them, reported last.
func TestMergeKeepsPeersOfAllLinks(t *testing.T) {
	g := NewWithT(t)
	one := connect(t, message.Hello{NodeID: "entry-1", Role: message.RoleEntry})
	two := connect(t, message.Hello{NodeID: "entry-2", Role: message.RoleEntry})
	withVersion := message.Peer{NodeID: "a", Versions: []string{"v"}}
	views := NewViews()
	views.Apply(one, &message.PeerView{Peers: []message.Peer{{NodeID: "a"}, {NodeID: "b"}}})
	views.Apply(two, &message.PeerView{Peers: []message.Peer{withVersion}})
	g.Expect(views.Merge([]message.Peer{{NodeID: "c"}}, nil)).To(Equal([]message.Peer{withVersion, {NodeID: "b"}, {NodeID: "c"}}))
	g.Expect(views.Any(two, func(p message.Peer) bool { return p.NodeID == "b" })).To(BeFalse())
}
