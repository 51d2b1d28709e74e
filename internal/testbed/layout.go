package testbed

import (
	"fmt"
	"path/filepath"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Process names of the fakes of the platform services.
const (
	StoreName        = "store"
	OriginName       = "origin"
	WeightStoreName  = "weights"
	InstanceListName = "list"
)

// Kinds of agents.
const (
	kindModel   = "model"
	kindService = "service"
)

// Node holds the identity and the addresses of an entry or an agent.
type Node struct {
	ID         string
	Role       message.Role
	DataCentre string
	Region     string
	// Kind and Upstream are set on agents only. Kind is the kind of the agent's pool, "model" or "service". Upstream is the
	// process name of the upstream.
	Kind     string
	Upstream string
	// AdminAddress, CallerAddress, LinkAddress and WeightsAddress are listen addresses, empty if the node has no such listener.
	// Model engines read weights from WeightsAddress. AdvertiseAddress is the address at which other nodes reach LinkAddress.
	AdminAddress, CallerAddress, LinkAddress, AdvertiseAddress, WeightsAddress string
	// endpoints holds the base URLs that the node uses for fakes, by process name. With fault proxies they are the URLs of
	// proxies.
	endpoints map[string]string
}

// source identifies the node as the source of connections through a fault proxy.
func (n *Node) source() faultproxy.Source {
	return faultproxy.Source{Node: n.ID, DataCentre: n.DataCentre, Region: n.Region}
}

// location is the data centre and the region in which a process is placed.
type location struct{ dataCentre, region string }

// plan assigns names, addresses and flags to all nodes and fakes and creates the fault proxies. It starts no process.
func (b *Bed) plan() error {
	platform := location{b.fleet.DataCentres[0].Name, b.fleet.DataCentres[0].Region}
	b.addFake(StoreName, platform, "store", fmt.Sprintf("-writes=%g", b.fleet.StoreWrites), fmt.Sprintf("-reads=%g", b.fleet.StoreReads))
	b.addFake(OriginName, platform, "origin", fmt.Sprintf("-bandwidth=%d", b.fleet.OriginBytesPerSecond))
	b.addFake(WeightStoreName, platform, "origin", "-weights")
	b.addFake(InstanceListName, platform, "list", fmt.Sprintf("-lag=%s", b.fleet.ListLag))
	entries, models, services := 0, 0, 0
	for _, dc := range b.fleet.DataCentres {
		for range dc.Entries {
			entries++
			b.nodes = append(b.nodes, b.newEntry(fmt.Sprintf("entry-%d", entries), dc))
		}
		for range dc.Models {
			models++
			b.nodes = append(b.nodes, b.newAgent(fmt.Sprintf("agent-%d", models), fmt.Sprintf("engine-%d", models), kindModel, dc))
		}
		for range dc.Services {
			services++
			b.nodes = append(b.nodes, b.newAgent(fmt.Sprintf("orders-%d", services), fmt.Sprintf("service-%d", services), kindService, dc))
		}
	}
	for _, n := range b.nodes {
		if err := b.connect(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) newEntry(id string, dc DataCentre) *Node {
	return &Node{
		ID: id, Role: message.RoleEntry, DataCentre: dc.Name, Region: dc.Region,
		AdminAddress: b.addresses.Take(), CallerAddress: b.addresses.Take(), LinkAddress: b.addresses.Take(),
		endpoints: make(map[string]string),
	}
}

func (b *Bed) newAgent(id, upstream, kind string, dc DataCentre) *Node {
	n := &Node{
		ID: id, Role: message.RoleAgent, DataCentre: dc.Name, Region: dc.Region, Kind: kind, Upstream: upstream,
		AdminAddress: b.addresses.Take(), endpoints: make(map[string]string),
	}
	loc := location{dc.Name, dc.Region}
	journal := "-journal=" + b.journalPath(upstream)
	if kind == kindService {
		b.addFake(upstream, loc, "service", journal, fmt.Sprintf("-duration=%s", b.fleet.ServiceDuration))
		return n
	}
	n.LinkAddress, n.WeightsAddress = b.addresses.Take(), b.addresses.Take()
	b.addFake(upstream, loc, "engine", append(b.fleet.Engine.flags(), journal)...)
	return n
}

// flags returns the flags of pimentofake for the parameters.
func (e Engine) flags() []string {
	var flags []string
	if e.MaxBatch > 0 {
		flags = append(flags, fmt.Sprintf("-max-batch=%d", e.MaxBatch))
	}
	if e.TokenTime > 0 {
		flags = append(flags, fmt.Sprintf("-token-time=%s", e.TokenTime))
	}
	if e.PrefillTime > 0 {
		flags = append(flags, fmt.Sprintf("-prefill-time=%s", e.PrefillTime))
	}
	if e.LoadTime > 0 {
		flags = append(flags, fmt.Sprintf("-load-time=%s", e.LoadTime))
	}
	return append(flags, fmt.Sprintf("-fencing=%t", e.Fencing), "-token="+e.Token)
}

// addFake registers the process of one fake and assigns its address. command is the subcommand of pimentofake.
func (b *Bed) addFake(name string, loc location, command string, flags ...string) {
	address := b.addresses.Take()
	b.fakeAddresses[name], b.fakeLocations[name] = address, loc
	b.addProcess(name, "pimentofake", append([]string{command, "-address=" + address}, flags...))
}

// addProcess registers a process, which is started later.
func (b *Bed) addProcess(name, program string, args []string) {
	b.processes[name] = &Process{
		Name: name, path: filepath.Join(b.binaries, program), args: args, logPath: filepath.Join(b.dir, name+".log"),
	}
	b.processNames = append(b.processNames, name)
}

func (b *Bed) journalPath(upstream string) string { return filepath.Join(b.dir, upstream+".journal") }

// connect sets the endpoints and the advertised address of a node. If the fleet has fault proxies, it creates them and uses their
// addresses.
func (b *Bed) connect(n *Node) error {
	names := []string{StoreName, InstanceListName}
	if n.Role == message.RoleAgent {
		names = append(names, n.Upstream, OriginName, WeightStoreName)
	}
	for _, name := range names {
		address := b.fakeAddresses[name]
		if b.fleet.Proxies {
			proxy, err := faultproxy.New(b.addresses.Take(), address, n.source())
			if err != nil {
				return err
			}
			address = proxy.Address()
			b.addProxy(ProxyName(n.ID, name), proxy, b.fakeLocations[name])
		}
		n.endpoints[name] = "http://" + address
	}
	n.AdvertiseAddress = n.LinkAddress
	if !b.fleet.Proxies || n.LinkAddress == "" {
		return nil
	}
	proxy, err := faultproxy.NewLink(b.addresses.Take(), n.LinkAddress)
	if err != nil {
		return err
	}
	n.AdvertiseAddress = proxy.Address()
	b.addProxy(LinkProxyName(n.ID), proxy, location{n.DataCentre, n.Region})
	return nil
}
