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

// settingsText is the form of all settings files. Strings are quoted by %q, which is valid TOML for the values used here.
var settingsText = template.Must(template.New("settings").Parse(`role = {{printf "%q" .Node.Role}}
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
peers = [{{.Links}}]
{{with .Fleet.QuarantineRetention}}quarantine_retention = "{{.}}"
{{end}}{{if .Fleet.BaselineRouting}}baseline_routing = true
{{end}}[entry.operator_tokens_sha256]
tester = {{printf "%q" .OperatorHash}}
{{else}}{{if .Node.WeightsAddress}}origin = {{printf "%q" .Origin}}
weight_store = {{printf "%q" .WeightStore}}
{{end}}[agent]
entries = [{{.Links}}]
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

// settingsData is the input of settingsText.
type settingsData struct {
	Node                                       *Node
	Fleet                                      *Fleet
	Agent                                      settings.Agent
	IsEntry                                    bool
	Secret, OperatorHash, Token, Pool          string
	Store, List, Origin, WeightStore, Upstream string
	Links                                      string
}

// settingsOf renders the settings of a node.
func (b *Bed) settingsOf(n *Node) (string, error) {
	data := settingsData{
		Node: n, Fleet: &b.fleet, Agent: b.fleet.Agent, IsEntry: n.Role == message.RoleEntry,
		Secret: linkSecret, OperatorHash: hexSum(OperatorToken), Token: b.fleet.Engine.Token, Pool: ModelPool,
		Store: n.endpoints[StoreName], List: n.endpoints[InstanceListName], Origin: n.endpoints[OriginName],
		WeightStore: n.endpoints[WeightStoreName], Upstream: n.endpoints[n.Upstream], Links: b.linksOf(n),
	}
	if n.Kind == kindService {
		data.Pool = b.fleet.ServicePool
	}
	var out strings.Builder
	err := settingsText.Execute(&out, data)
	return out.String(), errors.Wrap(err, "testbed: settings")
}

// linksOf lists the entries that a node dials: an agent those of its data centre, an entry all others.
func (b *Bed) linksOf(n *Node) string {
	var out []string
	for _, other := range b.nodes {
		dials := n.Role == message.RoleEntry && other != n || other.DataCentre == n.DataCentre
		if other.Role == message.RoleEntry && dials && other != n {
			out = append(out, fmt.Sprintf("%q", other.AdvertiseAddress))
		}
	}
	return strings.Join(out, ", ")
}

// writeSettings writes the settings file of each node and plans its process.
func (b *Bed) writeSettings() error {
	for _, n := range b.nodes {
		text, err := b.settingsOf(n)
		if err != nil {
			return err
		}
		path := filepath.Join(b.dir, n.ID+".toml")
		if _, err := settings.Parse(path, []byte(text)); err != nil {
			return errors.Wrap(err, "testbed")
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "testbed")
		}
		b.addProcess(n.ID, "pimentoheadd", []string{"-config", path})
	}
	return nil
}
