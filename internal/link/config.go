// Package link carries typed messages over TCP between processes of the system.
//
// A link starts with a handshake in which both sides prove that they hold the link secret. After that each side sends frames:
// a four-byte big-endian length followed by one encoded message. Heartbeats let each side detect a connection on which nothing
// arrives any more.
package link

import (
	"context"
	"net"
	"time"
)

// Config holds the parameters of a link. The zero value of a field selects its default.
type Config struct {
	// Secret authenticates both sides. Required.
	Secret []byte
	// HeartbeatInterval is the time between heartbeats. Default 1 s.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without received bytes after which the connection is closed. Default 3 s.
	SilenceTimeout time.Duration
	// HandshakeTimeout bounds the dial and the handshake, each on its own. Default 2 s.
	HandshakeTimeout time.Duration
	// MaxFrameBytes bounds the size of one frame without its length prefix, in both directions. Default 16 MiB.
	MaxFrameBytes int
	// ControlQueueSize and DataQueueSize are the capacities of the send queues in messages. Default 256 each.
	ControlQueueSize int
	DataQueueSize    int
	// Traffic counts the bytes of this link and of all others that share it. Optional.
	Traffic *Traffic
	// DialContext opens connections. Default net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultMaxFrameBytes     = 16 << 20
	DefaultQueueSize         = 256
)

// withDefaults returns c with the default in place of each field that is not positive.
func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = DefaultSilenceTimeout
	}
	if c.HandshakeTimeout <= 0 {
		c.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if c.MaxFrameBytes <= 0 {
		c.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if c.ControlQueueSize <= 0 {
		c.ControlQueueSize = DefaultQueueSize
	}
	if c.DataQueueSize <= 0 {
		c.DataQueueSize = DefaultQueueSize
	}
	if c.DialContext == nil {
		c.DialContext = new(net.Dialer).DialContext
	}
	return c
}
