package fleet

import (
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// LogConfig logs that a configuration was put in force. revision is that of the store, from names the source of the record.
func LogConfig(log logr.Logger, c *catalog.Config, revision int64, from string) {
	log.Info("configuration in force", "version", c.Version, "revision", revision, "routes", len(c.Routes), "customers", len(c.Customers),
		"requires_key", c.RequiresKey(), "from", from)
}
