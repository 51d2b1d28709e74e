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

// validator collects the faults of a settings file, so that an operator sees all of them at once.
type validator struct {
	// fileName is the name of the settings file in messages.
	fileName string
	// lines are the lines of the settings file.
	lines  []string
	faults []string
}

// validate checks the settings. fileName and text are used to name the file and the line of each fault.
func (s *Settings) validate(fileName string, text []byte) error {
	v := &validator{fileName: fileName, lines: strings.Split(string(text), "\n")}
	v.checkCommon(s)
	switch s.Role {
	case message.RoleEntry:
		v.checkEntry(s)
	case message.RoleAgent:
		v.checkAgent(s)
	default:
		v.addFault("role", `must be "entry" or "agent"`)
	}
	if len(v.faults) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(v.faults, "\n"))
}

// addFault adds a fault with the line of key. problem says what is wrong or which values are allowed.
func (v *validator) addFault(key, problem string) {
	v.faults = append(v.faults, errors.Newf("%s:%d: key %q: %s", v.fileName, v.lineOf(key), key, problem).Error())
}

// lineOf returns the line of a dotted key or, if the key is absent, of the header of its table; 1 if that is absent too.
func (v *validator) lineOf(key string) int {
	table, leaf := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		table, leaf = key[:i], key[i+1:]
	}
	currentTable, tableLine := "", 1
	for i, line := range v.lines {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			currentTable = strings.Trim(trimmed, "[] \t")
			if currentTable == table {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(trimmed, "=")
		if ok && currentTable == table && strings.TrimSpace(name) == leaf {
			return i + 1
		}
	}
	return tableLine
}

// checkCommon checks the settings of both roles.
func (v *validator) checkCommon(s *Settings) {
	v.checkIdentifier("id", s.ID)
	v.checkIdentifier("data_centre", s.DataCentre)
	v.checkIdentifier("region", s.Region)
	switch s.LogLevel {
	case levelDebug, defaultLogLevel, levelError:
	default:
		v.addFault("log_level", `must be "debug", "info" or "error"`)
	}
	v.checkAddress("listen.admin", s.Listen.Admin)
	if (s.Listen.TLSCertFile == "") != (s.Listen.TLSKeyFile == "") {
		v.addFault("listen.tls_cert_file", "must be set together with listen.tls_key_file")
	}
	if len(s.Link.Secret) < minSecretBytes {
		v.addFault("link.secret", "must have at least 16 bytes, here or in link.secret_file")
	}
	if s.Link.HeartbeatInterval <= 0 {
		v.addFault("link.heartbeat_interval", "must be positive")
	}
	if s.Link.SilenceTimeout < minHeartbeatsPerSilenceTimeout*s.Link.HeartbeatInterval {
		v.addFault("link.silence_timeout", "must be at least twice link.heartbeat_interval")
	}
	if s.Shutdown.Timeout <= 0 {
		v.addFault("shutdown.timeout", "must be positive")
	}
	v.checkURL("platform.store", s.Platform.Store, true)
	v.checkURL("platform.instance_list", s.Platform.InstanceList, false)
	v.checkURL("platform.origin", s.Platform.Origin, false)
	v.checkURL("platform.weight_store", s.Platform.WeightStore, false)
	if s.Platform.StoreCallsPerSecond <= 0 {
		v.addFault("platform.store_calls_per_second", "must be positive")
	}
}

// checkEntry checks the settings of an entry.
func (v *validator) checkEntry(s *Settings) {
	v.checkAddress("listen.caller", s.Listen.Caller)
	v.checkAddress("listen.link", s.Listen.Link)
	if s.Listen.Weights != "" {
		v.addFault("listen.weights", "belongs to the agent role")
	}
	if s.Agent.Pool != "" || len(s.Agent.Entries) > 0 || s.Agent.Upstream != "" {
		v.addFault("agent", "belongs to the agent role")
	}
	for _, peer := range s.Entry.Peers {
		v.checkAddress("entry.peers", peer)
	}
	if s.Entry.QuarantineRetention <= 0 {
		v.addFault("entry.quarantine_retention", "must be positive")
	}
	if len(s.Entry.OperatorTokensSHA256) == 0 {
		v.addFault("entry.operator_tokens_sha256", "needs at least one operator")
	}
	for _, hash := range s.Entry.OperatorTokensSHA256 {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
			v.addFault("entry.operator_tokens_sha256", "values must be 64 hex digits")
		}
	}
	if s.Entry.MaxConnections < 1 {
		v.addFault("entry.max_connections", "must be at least 1")
	}
}

// checkAgent checks the settings of an agent.
func (v *validator) checkAgent(s *Settings) {
	if s.Listen.Caller != "" {
		v.addFault("listen.caller", "belongs to the entry role")
	}
	if len(s.Entry.Peers) > 0 || len(s.Entry.OperatorTokensSHA256) > 0 {
		v.addFault("entry", "belongs to the entry role")
	}
	if len(s.Agent.Entries) == 0 {
		v.addFault("agent.entries", "needs at least one link address")
	}
	for _, entry := range s.Agent.Entries {
		v.checkAddress("agent.entries", entry)
	}
	v.checkIdentifier("agent.pool", s.Agent.Pool)
	v.checkURL("agent.upstream", s.Agent.Upstream, true)
	v.checkAgentKind(s)
	v.checkAgentLimits(s)
}

// checkAgentKind checks the kind of the upstream, the settings that depend on it, and the chunk order.
func (v *validator) checkAgentKind(s *Settings) {
	switch s.Agent.Kind {
	case kindModel:
		v.checkAddress("listen.link", s.Listen.Link)
		v.checkLoopback("listen.weights", s.Listen.Weights)
		v.checkURL("platform.origin", s.Platform.Origin, true)
	case kindService:
		if s.Listen.Weights != "" {
			v.addFault("listen.weights", `belongs to agents of kind "model"`)
		}
	default:
		v.addFault("agent.kind", `must be "model" or "service"`)
	}
	switch s.Agent.ChunkOrder {
	case orderInOrder, orderRarest, defaultChunkOrder:
	default:
		v.addFault("agent.chunk_order", `must be "in-order", "rarest" or "rendezvous"`)
	}
}

func (v *validator) checkAgentLimits(s *Settings) {
	if s.Agent.MaxConcurrency < 1 {
		v.addFault("agent.max_concurrency", "must be at least 1")
	}
	if s.Agent.QueueLimit < 1 {
		v.addFault("agent.queue_limit", "must be at least 1")
	}
	if s.Agent.WeightsMemoryBytes < 1 {
		v.addFault("agent.weights_memory_bytes", "must be at least 1")
	}
	if s.Agent.PeerBytesPerSecond < 0 {
		v.addFault("agent.peer_bytes_per_second", "must not be negative")
	}
}

// checkIdentifier checks a name that is used in keys, metrics and logs.
func (v *validator) checkIdentifier(key, value string) {
	valid := value != "" && len(value) <= maxIDBytes
	for _, r := range value {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		valid = valid && (alphanumeric || r == '-' || r == '_' || r == '.')
	}
	if !valid {
		v.addFault(key, "must be 1 to 64 letters, digits, '-', '_' or '.'")
	}
}

// checkAddress checks that value is an IP address and a port.
func (v *validator) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addFault(key, "must be an IP address and port such as 127.0.0.1:8080")
	}
}

// checkLoopback checks that value is a loopback IP address and a port.
func (v *validator) checkLoopback(key, value string) {
	host, _, err := net.SplitHostPort(value)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		v.addFault(key, "must be a loopback IP address and port: weights are served to the engine on the same instance only")
	}
}

// checkURL checks that value is an http or https URL. An empty value is accepted unless it is required.
func (v *validator) checkURL(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.addFault(key, "must be a URL such as http://127.0.0.1:2379")
	}
}
