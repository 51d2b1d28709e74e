package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// settingsTemplate renders the settings file of any node. It quotes strings with %q, which gives valid TOML for the values used
// here.
var settingsTemplate = template.Must(template.New("settings").Parse(`role = {{printf "%q" .Node.Role}}
id = {{printf "%q" .Node.ID}}
data_centre = {{printf "%q" .Node.DataCentre}}
region = {{printf "%q" .Node.Region}}
log_level = {{printf "%q" .Fleet.LogLevel}}
[listen]
admin = {{printf "%q" .Node.AdminAddress}}
{{with .Node.CallerAddress}}caller = {{printf "%q" .}}
{{end}}{{with .Node.LinkAddress}}link = {{printf "%q" .}}
{{end}}{{with .Node.WeightsAddress}}weights = {{printf "%q" .}}
{{end}}[link]
secret = {{printf "%q" .Secret}}
{{with .Node.AdvertiseAddress}}advertise_address = {{printf "%q" .}}
{{end}}[platform]
store = {{printf "%q" .Store}}
instance_list = {{printf "%q" .List}}
{{with .Fleet.StoreCallsPerSecond}}store_calls_per_second = {{printf "%f" .}}
{{end}}{{if .IsEntry}}[entry]
peers = [{{.EntryAddresses}}]
{{with .Fleet.QuarantineRetention}}quarantine_retention = "{{.}}"
{{end}}{{if .Fleet.BaselineRouting}}baseline_routing = true
{{end}}[entry.operator_tokens_sha256]
tester = {{printf "%q" .OperatorHash}}
{{else}}{{if .Node.WeightsAddress}}origin = {{printf "%q" .Origin}}
weight_store = {{printf "%q" .WeightStore}}
{{end}}[agent]
entries = [{{.EntryAddresses}}]
pool = {{printf "%q" .Pool}}
kind = {{printf "%q" .Node.Kind}}
upstream = {{printf "%q" .Upstream}}
upstream_token = {{printf "%q" .Token}}
{{with .Agent}}{{if .MaxConcurrency}}max_concurrency = {{.MaxConcurrency}}
{{end}}{{if .QueueLimit}}queue_limit = {{.QueueLimit}}
{{end}}{{if .WeightsMemoryBytes}}weights_memory_bytes = {{.WeightsMemoryBytes}}
{{end}}{{if .ChunkOrder}}chunk_order = {{printf "%q" .ChunkOrder}}
{{end}}peer_bytes_per_second = {{.PeerBytesPerSecond}}
baseline_scheduling = {{.BaselineScheduling}}
baseline_transfer = {{.BaselineTransfer}}
{{end}}{{end}}{{with .Fleet.ShutdownTimeout}}[shutdown]
timeout = "{{.}}"
{{end}}`))

// settingsData is the input of settingsTemplate. Store, List, Origin, WeightStore and Upstream are URLs; EntryAddresses is a
// comma-separated list of quoted addresses.
type settingsData struct {
	Node                                       *Node
	Fleet                                      *Fleet
	Agent                                      settings.Agent
	IsEntry                                    bool
	Secret, OperatorHash, Token, Pool          string
	Store, List, Origin, WeightStore, Upstream string
	EntryAddresses                             string
}

// renderSettings returns the text of a node's settings file.
func (c *Cluster) renderSettings(n *Node) (string, error) {
	data := settingsData{
		Node: n, Fleet: &c.fleet, Agent: c.fleet.Agent, IsEntry: n.Role == message.RoleEntry,
		Secret: linkSecret, OperatorHash: sha256Hex(OperatorToken), Token: c.fleet.Engine.Token, Pool: ModelPool,
		Store: n.endpoints[StoreName], List: n.endpoints[InstanceListName], Origin: n.endpoints[OriginName],
		WeightStore: n.endpoints[WeightStoreName], Upstream: n.endpoints[n.Upstream], EntryAddresses: c.entriesToDial(n),
	}
	if n.Kind == kindService {
		data.Pool = c.fleet.ServicePool
	}
	var out strings.Builder
	err := settingsTemplate.Execute(&out, data)
	return out.String(), errors.Wrap(err, "testbed: render the settings")
}

// entriesToDial returns the addresses of the entries that a node dials, quoted and separated by commas. An agent dials the entries
// of its data centre, an entry all other entries.
func (c *Cluster) entriesToDial(n *Node) string {
	var out []string
	for _, other := range c.nodes {
		dials := n.Role == message.RoleEntry && other != n || other.DataCentre == n.DataCentre
		if other.Role == message.RoleEntry && dials && other != n {
			out = append(out, fmt.Sprintf("%q", other.AdvertiseAddress))
		}
	}
	return strings.Join(out, ", ")
}

// writeSettings writes the settings file of each node and registers its process.
func (c *Cluster) writeSettings() error {
	for _, n := range c.nodes {
		text, err := c.renderSettings(n)
		if err != nil {
			return err
		}
		path := filepath.Join(c.dir, n.ID+".toml")
		if _, err := settings.Parse(path, []byte(text)); err != nil {
			return errors.Wrap(err, "testbed: check the settings")
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "testbed: write the settings")
		}
		c.addProcess(n.ID, "pimentoheadd", []string{"-config", path})
	}
	return nil
}
