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
func (c *Cluster) plan() error {
	platform := location{c.fleet.DataCentres[0].Name, c.fleet.DataCentres[0].Region}
	c.addFake(StoreName, platform, "store", fmt.Sprintf("-writes=%g", c.fleet.StoreWrites), fmt.Sprintf("-reads=%g", c.fleet.StoreReads))
	c.addFake(OriginName, platform, "origin", fmt.Sprintf("-bandwidth=%d", c.fleet.OriginBytesPerSecond))
	c.addFake(WeightStoreName, platform, "origin", "-weights")
	c.addFake(InstanceListName, platform, "list", fmt.Sprintf("-lag=%s", c.fleet.ListLag))
	entries, models, services := 0, 0, 0
	for _, dc := range c.fleet.DataCentres {
		for range dc.Entries {
			entries++
			c.nodes = append(c.nodes, c.newEntry(fmt.Sprintf("entry-%d", entries), dc))
		}
		for range dc.Models {
			models++
			c.nodes = append(c.nodes, c.newAgent(fmt.Sprintf("agent-%d", models), fmt.Sprintf("engine-%d", models), kindModel, dc))
		}
		for range dc.Services {
			services++
			c.nodes = append(c.nodes, c.newAgent(fmt.Sprintf("orders-%d", services), fmt.Sprintf("service-%d", services), kindService, dc))
		}
	}
	for _, n := range c.nodes {
		if err := c.connect(n); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newEntry(id string, dc DataCentre) *Node {
	return &Node{
		ID: id, Role: message.RoleEntry, DataCentre: dc.Name, Region: dc.Region,
		AdminAddress: c.addresses.Take(), CallerAddress: c.addresses.Take(), LinkAddress: c.addresses.Take(),
		endpoints: make(map[string]string),
	}
}

func (c *Cluster) newAgent(id, upstream, kind string, dc DataCentre) *Node {
	n := &Node{
		ID: id, Role: message.RoleAgent, DataCentre: dc.Name, Region: dc.Region, Kind: kind, Upstream: upstream,
		AdminAddress: c.addresses.Take(), endpoints: make(map[string]string),
	}
	loc := location{dc.Name, dc.Region}
	journal := "-journal=" + c.journalPath(upstream)
	if kind == kindService {
		c.addFake(upstream, loc, "service", journal, fmt.Sprintf("-duration=%s", c.fleet.ServiceDuration))
		return n
	}
	n.LinkAddress, n.WeightsAddress = c.addresses.Take(), c.addresses.Take()
	c.addFake(upstream, loc, "engine", append(c.fleet.Engine.flags(), journal)...)
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
func (c *Cluster) addFake(name string, loc location, command string, flags ...string) {
	address := c.addresses.Take()
	c.fakeAddresses[name], c.fakeLocations[name] = address, loc
	c.addProcess(name, "pimentofake", append([]string{command, "-address=" + address}, flags...))
}

// addProcess registers a process, which is started later.
func (c *Cluster) addProcess(name, program string, args []string) {
	c.processes[name] = &Process{
		Name: name, path: filepath.Join(c.binaries, program), args: args, logPath: filepath.Join(c.dir, name+".log"),
	}
	c.processNames = append(c.processNames, name)
}

func (c *Cluster) journalPath(upstream string) string {
	return filepath.Join(c.dir, upstream+".journal")
}

// connect sets the endpoints and the advertised address of a node. If the fleet has fault proxies, it creates them and uses their
// addresses.
func (c *Cluster) connect(n *Node) error {
	names := []string{StoreName, InstanceListName}
	if n.Role == message.RoleAgent {
		names = append(names, n.Upstream, OriginName, WeightStoreName)
	}
	for _, name := range names {
		address := c.fakeAddresses[name]
		if c.fleet.Proxies {
			proxy, err := faultproxy.New(c.addresses.Take(), address, n.source())
			if err != nil {
				return err
			}
			address = proxy.Address()
			c.addProxy(ProxyName(n.ID, name), proxy, c.fakeLocations[name])
		}
		n.endpoints[name] = "http://" + address
	}
	n.AdvertiseAddress = n.LinkAddress
	if !c.fleet.Proxies || n.LinkAddress == "" {
		return nil
	}
	proxy, err := faultproxy.NewLink(c.addresses.Take(), n.LinkAddress)
	if err != nil {
		return err
	}
	n.AdvertiseAddress = proxy.Address()
	c.addProxy(LinkProxyName(n.ID), proxy, location{n.DataCentre, n.Region})
	return nil
}
