package message

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against short frames that make the decoder allocate memory for an announced length, or recurse without bound.
func TestDecodeRefusesLengthsBeyondTheFrame(t *testing.T) {
	prefix := []byte{byte(TypePeerView), 0x81, 0xa1, 'p'}
	for name, body := range map[string][]byte{
		"array longer than the frame":  {0xdd, 0x30, 0x30, 0x30, 0x30, 0x80},
		"map longer than the frame":    {0xdf, 0xff, 0xff, 0xff, 0xff, 0x80},
		"string longer than the frame": {0xdb, 0x7f, 0xff, 0xff, 0xff, 'x'},
		"too many elements":            append([]byte{0xdd, 0, 1, 0, 1}, bytes.Repeat([]byte{0xc0}, maxElements+1)...),
		"nested too deeply":            bytes.Repeat([]byte{0x91}, 1<<20),
		"truncated length":             {0xdd, 0},
		"unused code":                  {0xc1},
		"empty body":                   {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			frame := append(bytes.Clone(prefix), body...)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := Decode(frame)
			runtime.ReadMemStats(&after)
			g.Expect(errors.Is(err, ErrMalformed)).To(BeTrue())
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
		})
	}
}

// Guards against checkBounds refusing valid values: it must accept every type and length width that the encoder writes.
func TestCheckBoundsAcceptsEveryEncoding(t *testing.T) {
	g := NewWithT(t)
	long := string(bytes.Repeat([]byte("x"), 70000))
	for _, value := range []any{
		nil, true, -1, 1, 200, -200, 70000, -70000, int64(1) << 40, -int64(1) << 40, float32(1), 1.5, "", "x", long[:40], long[:300], long,
		[]byte{1}, []byte(long[:300]), []byte(long), []int{}, make([]int, 20), make([]int, 40000), map[string]int{"a": 1},
		[]HeaderField{{Name: "a", Value: "b"}}, Submit{Header: []HeaderField{{}}, Body: []byte(long)}, PeerView{Peers: make([]Peer, 5000)},
	} {
		encoded, err := msgpack.Marshal(value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(checkBounds(encoded)).To(Succeed(), "%T", value)
		g.Expect(checkBounds(encoded[:len(encoded)-1])).NotTo(Succeed(), "%T truncated", value)
	}
}

// Guards against an older release refusing or misreading a message to which a newer release has added fields.
func TestDecodeIgnoresUnknownFields(t *testing.T) {
	g := NewWithT(t)
	body, err := msgpack.Marshal(map[string]any{"rev": 7, "later": []any{map[string]any{"x": 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	m, err := Decode(append([]byte{byte(TypeHeartbeat)}, body...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(&Heartbeat{Revision: 7}))
}

// Guards against larger heartbeats: they are most of the traffic between idle nodes, about 24 bytes per second and link for both
// directions together, including the length prefixes of the frames.
func TestHeartbeatIsSmall(t *testing.T) {
	g := NewWithT(t)
	frame, err := Encode(nil, &Heartbeat{Revision: 1 << 15})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(frame)).To(BeNumerically("<=", 10))
}
