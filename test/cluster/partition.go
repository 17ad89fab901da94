package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
)

// PartitionZone blocks the connections between an availability zone and the
// platform, and between the zone and the hosts and endpoints of the other zones,
// until Heal.
func (c *Cluster) PartitionZone(index int) {
	ginkgo.GinkgoHelper()
	within := c.Zone(index)
	inside := connectionsFrom(within)
	outside := func(from net.Addr) bool { return !inside(from) }
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

// connectionsFrom returns a filter for connections opened by one of the hosts. It
// finds the owner of a connection in the kernel's socket tables, since all
// processes have the same IP address.
func connectionsFrom(hosts []*Host) func(net.Addr) bool {
	return func(from net.Addr) bool {
		inode, ok := inodeOf(from.(*net.TCPAddr).Port)
		if !ok {
			return false
		}
		for _, host := range hosts {
			if hasSocketOpen(host.cmd.Process.Pid, inode) {
				return true
			}
		}
		return false
	}
}

// inodeOf returns the socket inode of the connection with the local port. The
// columns of /proc/net/tcp are slot, local address, remote address, state, queues,
// timer, retransmits, user, timeout and inode.
func inodeOf(port int) (inode string, ok bool) {
	const localColumn, stateColumn, inodeColumn, listening = 1, 3, 9, "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn || columns[stateColumn] == listening {
			continue
		}
		if strings.HasSuffix(columns[localColumn], suffix) && columns[inodeColumn] != "0" {
			return columns[inodeColumn], true
		}
	}
	return "", false
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
