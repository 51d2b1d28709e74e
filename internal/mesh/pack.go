package mesh

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// configEncoder encodes each version of the configuration once per role of the receiver, for all links.
type configEncoder struct {
	log logr.Logger

	mu      sync.Mutex
	version int64
	encoded map[message.Role][]byte
}

// encode returns the encoded configuration for nodes of a role, or nil if c is nil or cannot be encoded. Agents get no routes
// and no customers, which they do not need.
func (e *configEncoder) encode(c *catalog.Config, role message.Role) []byte {
	if c == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != c.Version {
		e.version, e.encoded = c.Version, map[message.Role][]byte{}
	}
	if data := e.encoded[role]; data != nil {
		return data
	}
	if role == message.RoleAgent {
		c = &catalog.Config{Version: c.Version, Services: c.Services}
	}
	data, err := message.PackConfig(c)
	if err != nil {
		e.log.Error(err, "cannot encode configuration for peers", "version", c.Version)
		return nil
	}
	e.encoded[role] = data
	return data
}
