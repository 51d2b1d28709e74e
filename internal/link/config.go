// Package link carries typed messages over TCP between processes of the system.
//
// A link starts with a handshake in which both sides prove that they hold the link secret. After that each side sends frames:
// a four-byte big-endian length followed by one encoded message. Heartbeats detect connections that went silent.
package link

import "time"

// Config holds the parameters of a link. The zero value of a field selects its default.
type Config struct {
	// Secret authenticates both sides. Required.
	Secret []byte
	// HeartbeatInterval is the time between heartbeats. Default 1 s.
	HeartbeatInterval time.Duration
	// SilenceTimeout closes a connection on which nothing arrived for so long. Default 3 s.
	SilenceTimeout time.Duration
	// HandshakeTimeout bounds the dial and the handshake. Default 2 s.
	HandshakeTimeout time.Duration
	// MaxFrameBytes bounds one frame in both directions. Default 16 MiB.
	MaxFrameBytes int
	// ControlQueueSize and DataRing are the capacities of the send rings in messages. Defaults 256 and 256.
	ControlQueueSize int
	DataQueueSize    int
	// Traffic counts the bytes of the link together with others. Optional.
	Traffic *Traffic
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultMaxFrameBytes     = 16 << 20
	DefaultQueueSize         = 256
)

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
	return c
}
