package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/onsi/ginkgo/v2"
	"github.com/vishvananda/netlink"

	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

// PartitionZone blocks the connections between an availability zone and the
// platform, and between the zone and the hosts and endpoints of the other zones,
// until Heal.
func (c *Cluster) PartitionZone(index int) {
	ginkgo.GinkgoHelper()
	within := c.Zone(index)
	inside := connectionsFrom(within)
	outside := func(from, to net.Addr) bool { return !inside(from, to) }
	for _, host := range within {
		host.ToPlatform.Block()
	}
	for _, host := range c.Hosts {
		if host.Zone == zoneName(index) {
			host.FromPeers.BlockFrom(outside)
		} else {
			host.FromPeers.BlockFrom(inside)
		}
	}
	for _, endpoint := range c.endpoints() {
		if endpoint.Zone == zoneName(index) {
			endpoint.Relay.BlockFrom(outside)
		} else {
			endpoint.Relay.BlockFrom(inside)
		}
	}
}

// Heal ends the partition that PartitionZone created. New connections work again.
func (c *Cluster) Heal() {
	for _, host := range c.Hosts {
		host.ToPlatform.Unblock()
		host.FromPeers.Unblock()
	}
	for _, endpoint := range c.endpoints() {
		endpoint.Relay.Unblock()
	}
}

func (c *Cluster) endpoints() []*Endpoint {
	var endpoints []*Endpoint
	for _, engine := range c.Engines {
		endpoints = append(endpoints, &engine.Endpoint)
	}
	for _, service := range c.Services {
		endpoints = append(endpoints, &service.Endpoint)
	}
	return endpoints
}

// connectionsFrom returns a filter for connections opened by one of the hosts. It finds the
// owner of a connection by its socket, since all processes have the same IP address. It asks
// the kernel for the one socket: reading the table of all takes a tenth of a second on a machine
// with many, during which no further connection gets through.
func connectionsFrom(hosts []*Host) relay.Filter {
	return func(from, to net.Addr) bool {
		socket, err := netlink.SocketGet(from, to)
		if err != nil {
			return false // the connection has ended
		}
		inode := strconv.FormatUint(uint64(socket.INode), 10)
		return slices.ContainsFunc(hosts, func(host *Host) bool { return hasSocketOpen(host.cmd.Process.Pid, inode) })
	}
}

// hasSocketOpen reports whether a process has the socket open.
func hasSocketOpen(pid int, inode string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, descriptor := range descriptors {
		target, err := os.Readlink(descriptor)
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
