package mesh

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// configPacker makes the wire form of a configuration once for all links.
type configPacker struct {
	log logr.Logger

	mu       sync.Mutex
	revision int64
	forms    map[message.Role][]byte
}

// of returns the wire form for nodes of a role: agents need no routes and no customers. It returns nil if there is no configuration.
func (k *configPacker) of(c *catalog.Config, revision int64, role message.Role) []byte {
	if c == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.revision != revision {
		k.revision, k.forms = revision, map[message.Role][]byte{}
	}
	if form := k.forms[role]; form != nil {
		return form
	}
	if role == message.RoleAgent {
		c = &catalog.Config{Version: c.Version, Services: c.Services}
	}
	form, err := message.PackConfig(c)
	if err != nil {
		k.log.Error(err, "configuration cannot be passed on", "version", c.Version, "revision", revision)
		return nil
	}
	k.forms[role] = form
	return form
}
