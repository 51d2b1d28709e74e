package settings

import (
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// checker collects faults, so that an operator sees all of them at once.
type checker struct {
	name   string
	lines  []string
	faults []string
}

func (s *Settings) validate(name string, text []byte) error {
	c := &checker{name: name, lines: strings.Split(string(text), "\n")}
	c.common(s)
	switch s.Role {
	case message.RoleEntry:
		c.entry(s)
	case message.RoleAgent:
		c.agent(s)
	default:
		c.fault("role", `must be "entry" or "agent"`)
	}
	if len(c.faults) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(c.faults, "\n"))
}

func (c *checker) fault(key, allowed string) {
	c.faults = append(c.faults, errors.Newf("%s:%d: key %q: %s", c.name, c.line(key), key, allowed).Error())
}

// line finds the line of a dotted key, or of its table, or 1.
func (c *checker) line(key string) int {
	table, leaf := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		table, leaf = key[:i], key[i+1:]
	}
	current, found := "", 1
	for i, text := range c.lines {
		trimmed := strings.TrimSpace(text)
		if strings.HasPrefix(trimmed, "[") {
			current = strings.Trim(trimmed, "[] \t")
			if current == table {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(trimmed, "=")
		if ok && current == table && strings.TrimSpace(name) == leaf {
			return i + 1
		}
	}
	return found
}

func (c *checker) common(s *Settings) {
	c.identifier("id", s.ID)
	c.identifier("data_centre", s.DataCentre)
	c.identifier("region", s.Region)
	switch s.LogLevel {
	case levelDebug, defaultLogLevel, levelErrorOnly:
	default:
		c.fault("log_level", `must be "debug", "info" or "error"`)
	}
	c.address("listen.admin", s.Listen.Admin)
	if (s.Listen.TLSCertFile == "") != (s.Listen.TLSKeyFile == "") {
		c.fault("listen.tls_cert_file", "must be set together with listen.tls_key_file")
	}
	if len(s.Link.Secret) < minSecretBytes {
		c.fault("link.secret", "must have at least 16 bytes, here or in link.secret_file")
	}
	if s.Link.HeartbeatInterval <= 0 {
		c.fault("link.heartbeat_interval", "must be positive")
	}
	if s.Link.SilenceTimeout < minSilencePerHeartbeat*s.Link.HeartbeatInterval {
		c.fault("link.silence_timeout", "must be at least twice link.heartbeat_interval")
	}
	if s.Shutdown.Timeout <= 0 {
		c.fault("shutdown.timeout", "must be positive")
	}
	c.endpoint("platform.store", s.Platform.Store, true)
	c.endpoint("platform.instance_list", s.Platform.InstanceList, false)
	c.endpoint("platform.origin", s.Platform.Origin, false)
	c.endpoint("platform.weight_store", s.Platform.WeightStore, false)
	if s.Platform.StoreCallsPerSecond <= 0 {
		c.fault("platform.store_calls_per_second", "must be positive")
	}
}

func (c *checker) entry(s *Settings) {
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.link", s.Listen.Link)
	if s.Listen.Weights != "" {
		c.fault("listen.weights", "belongs to the agent role")
	}
	if s.Agent.Pool != "" || len(s.Agent.Entries) > 0 || s.Agent.Upstream != "" {
		c.fault("agent", "belongs to the agent role")
	}
	for _, peer := range s.Entry.Peers {
		c.address("entry.peers", peer)
	}
	if s.Entry.QuarantineRetention <= 0 {
		c.fault("entry.quarantine_retention", "must be positive")
	}
	if len(s.Entry.OperatorTokensSHA256) == 0 {
		c.fault("entry.operator_tokens_sha256", "needs at least one operator")
	}
	for _, hash := range s.Entry.OperatorTokensSHA256 {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
			c.fault("entry.operator_tokens_sha256", "values must be 64 hex digits")
		}
	}
	if s.Entry.MaxConnections < 1 {
		c.fault("entry.max_connections", "must be at least 1")
	}
}

func (c *checker) agent(s *Settings) {
	if s.Listen.Caller != "" {
		c.fault("listen.caller", "belongs to the entry role")
	}
	if len(s.Entry.Peers) > 0 || len(s.Entry.OperatorTokensSHA256) > 0 {
		c.fault("entry", "belongs to the entry role")
	}
	if len(s.Agent.Entries) == 0 {
		c.fault("agent.entries", "needs at least one link address")
	}
	for _, entry := range s.Agent.Entries {
		c.address("agent.entries", entry)
	}
	c.identifier("agent.pool", s.Agent.Pool)
	c.endpoint("agent.upstream", s.Agent.Upstream, true)
	c.agentKind(s)
	c.agentLimits(s)
}

func (c *checker) agentKind(s *Settings) {
	switch s.Agent.Kind {
	case kindModel:
		c.address("listen.link", s.Listen.Link)
		c.loopback("listen.weights", s.Listen.Weights)
		c.endpoint("platform.origin", s.Platform.Origin, true)
	case kindService:
		if s.Listen.Weights != "" {
			c.fault("listen.weights", `belongs to agents of kind "model"`)
		}
	default:
		c.fault("agent.kind", `must be "model" or "service"`)
	}
	switch s.Agent.ChunkOrder {
	case orderInOrder, orderRarest, defaultChunkOrder:
	default:
		c.fault("agent.chunk_order", `must be "in-order", "rarest" or "rendezvous"`)
	}
}

func (c *checker) agentLimits(s *Settings) {
	if s.Agent.MaxConcurrency < 1 {
		c.fault("agent.max_concurrency", "must be at least 1")
	}
	if s.Agent.QueueLimit < 1 {
		c.fault("agent.queue_limit", "must be at least 1")
	}
	if s.Agent.WeightsMemoryBytes < 1 {
		c.fault("agent.weights_memory_bytes", "must be at least 1")
	}
	if s.Agent.PeerBytesPerSecond < 0 {
		c.fault("agent.peer_bytes_per_second", "must not be negative")
	}
}

// identifier checks names that appear in keys, metrics and logs.
func (c *checker) identifier(key, value string) {
	valid := value != "" && len(value) <= maxIDBytes
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		valid = valid && (letter || r == '-' || r == '_' || r == '.')
	}
	if !valid {
		c.fault(key, "is required: 1 to 64 letters, digits, '-', '_' or '.'")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(key, "must be an IP address and port such as 127.0.0.1:8080")
	}
}

func (c *checker) loopback(key, value string) {
	host, _, err := net.SplitHostPort(value)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		c.fault(key, "must be a loopback IP address and port: weights are served to the engine on the same instance only")
	}
}

func (c *checker) endpoint(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fault(key, "must be a URL such as http://127.0.0.1:2379")
	}
}
