package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// nonceBytes is the size of the random nonce that each side contributes to the proofs.
const nonceBytes = 16

// maxHandshakeFrameBytes bounds frames from peers that are not authenticated yet.
const maxHandshakeFrameBytes = 4 << 10

// Labels that make the proofs of the two sides differ, so that a peer cannot reflect a proof back to its sender.
const (
	dialerLabel   = "pimentohead dialer"
	acceptorLabel = "pimentohead acceptor"
)

// handshake exchanges Hello and HelloProof messages and returns the peer's Hello once its proof is verified. dialer reports
// whether this side opened the connection.
func handshake(nc net.Conn, self message.Hello, cfg Config, dialer bool) (message.Hello, error) {
	if err := nc.SetDeadline(time.Now().Add(cfg.HandshakeTimeout)); err != nil {
		return message.Hello{}, errors.Mark(err, ErrHandshake)
	}
	self.Protocol = message.ProtocolVersion
	self.Nonce = make([]byte, nonceBytes)
	if _, err := rand.Read(self.Nonce); err != nil {
		return message.Hello{}, errors.Mark(err, ErrHandshake)
	}
	peer, err := exchangeHello(nc, self)
	if err != nil {
		return message.Hello{}, err
	}
	if err := exchangeProof(nc, cfg.Secret, self, peer, dialer); err != nil {
		return message.Hello{}, err
	}
	return peer, errors.Mark(nc.SetDeadline(time.Time{}), ErrHandshake)
}

// exchangeHello sends self and returns the Hello of the peer, which is not authenticated yet.
func exchangeHello(nc net.Conn, self message.Hello) (message.Hello, error) {
	if err := writeHandshake(nc, &self); err != nil {
		return message.Hello{}, err
	}
	m, err := readHandshake(nc)
	if err != nil {
		return message.Hello{}, err
	}
	peer, ok := m.(*message.Hello)
	if !ok {
		return message.Hello{}, errors.Wrap(ErrHandshake, "first message from peer is not a Hello")
	}
	if peer.Protocol != message.ProtocolVersion {
		return message.Hello{}, errors.Wrapf(ErrHandshake, "peer has protocol version %d, want %d", peer.Protocol, message.ProtocolVersion)
	}
	if peer.NodeID == "" || len(peer.Nonce) != nonceBytes {
		return message.Hello{}, errors.Wrap(ErrHandshake, "Hello from peer lacks its node ID or nonce")
	}
	return *peer, nil
}

// exchangeProof sends the proof of this side and verifies that of the peer.
func exchangeProof(nc net.Conn, secret []byte, self, peer message.Hello, dialer bool) error {
	ownLabel, peerLabel := acceptorLabel, dialerLabel
	if dialer {
		ownLabel, peerLabel = dialerLabel, acceptorLabel
	}
	if err := writeHandshake(nc, &message.HelloProof{Proof: proof(secret, ownLabel, self, peer)}); err != nil {
		return err
	}
	m, err := readHandshake(nc)
	if err != nil {
		return err
	}
	peerProof, ok := m.(*message.HelloProof)
	if !ok || !hmac.Equal(peerProof.Proof, proof(secret, peerLabel, peer, self)) {
		return errors.Wrapf(ErrHandshake, "node %q sent no valid proof of the link secret", peer.NodeID)
	}
	return nil
}

// proof returns the HMAC over the label, the prover's identity and both nonces, each followed by a zero byte as a separator.
func proof(secret []byte, label string, prover, verifier message.Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, field := range [][]byte{
		[]byte(label), []byte(prover.NodeID), []byte(prover.Role), []byte(prover.DataCentre), []byte(prover.Region),
		[]byte(prover.Address), prover.Nonce, verifier.Nonce,
	} {
		_, _ = mac.Write(append(field[:len(field):len(field)], 0))
	}
	return mac.Sum(nil)
}

func writeHandshake(nc net.Conn, m message.Message) error {
	frame, err := AppendFrame(nil, m, maxHandshakeFrameBytes)
	if err != nil {
		return errors.Mark(err, ErrHandshake)
	}
	_, err = nc.Write(frame)
	return errors.Mark(err, ErrHandshake)
}

func readHandshake(nc net.Conn) (message.Message, error) {
	m, _, err := ReadFrame(nc, maxHandshakeFrameBytes)
	return m, errors.Mark(err, ErrHandshake)
}
