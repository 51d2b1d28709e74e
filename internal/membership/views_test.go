package membership

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against receivers whose view differs from the sender's after deltas, and against views that are sent whole or without
// a change: at the target size a whole view has a megabyte.
func TestDeltasLeadToTheSendersView(t *testing.T) {
	g := NewWithT(t)
	conn := connect(t, message.Hello{NodeID: "entry-2", Role: message.RoleEntry})
	received := NewViews()
	a, b := message.Peer{NodeID: "a", Address: "1"}, message.Peer{NodeID: "b", Address: "2"}
	changedB := message.Peer{NodeID: "b", Address: "2", Versions: []string{"v"}}
	c := message.Peer{NodeID: "c"}
	var sent []message.Peer
	for _, step := range []struct{ next, carried []message.Peer }{
		{[]message.Peer{a, b}, []message.Peer{a, b}},
		{[]message.Peer{a, changedB, c}, []message.Peer{changedB, c}},
		{[]message.Peer{changedB, c}, nil},
		{[]message.Peer{a, changedB}, []message.Peer{a}},
	} {
		view := DiffPeers(sent, step.next)
		g.Expect(view.Peers).To(Equal(step.carried))
		received.Apply(conn, view)
		sent = step.next
		g.Expect(received.Merge(nil, nil)).To(Equal(sent))
	}
	g.Expect(DiffPeers(sent, sent)).To(BeNil())
	received.Remove(conn)
	g.Expect(received.Merge(nil, nil)).To(BeEmpty())
}

// Guards against agents that lose the peers of one entry because another entry, which does not see them, reported last.
func TestMergeKeepsThePeersOfAllLinks(t *testing.T) {
	g := NewWithT(t)
	one := connect(t, message.Hello{NodeID: "entry-1", Role: message.RoleEntry})
	two := connect(t, message.Hello{NodeID: "entry-2", Role: message.RoleEntry})
	holds := message.Peer{NodeID: "a", Versions: []string{"v"}}
	views := NewViews()
	views.Apply(one, &message.PeerView{Peers: []message.Peer{{NodeID: "a"}, {NodeID: "b"}}})
	views.Apply(two, &message.PeerView{Peers: []message.Peer{holds}})
	g.Expect(views.Merge([]message.Peer{{NodeID: "c"}}, nil)).To(Equal([]message.Peer{holds, {NodeID: "b"}, {NodeID: "c"}}))
	g.Expect(views.Any(two, func(p message.Peer) bool { return p.NodeID == "b" })).To(BeFalse())
}
