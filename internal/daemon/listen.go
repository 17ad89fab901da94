package daemon

import (
	"encoding/json"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/netmeter"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// listeners are the open sockets of a host.
type listeners struct {
	callers, operators, peers, debug net.Listener
}

// addresses is the JSON document in the address file.
type addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Debug     string `json:"debug"`
}

// listen opens all sockets. The traffic of callers and peers is counted.
func listen(s settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, socket := range []struct {
		address string
		target  *net.Listener
	}{
		{s.Callers, &l.callers},
		{s.Operators, &l.operators},
		{s.Peers, &l.peers},
		{s.Debug, &l.debug},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s; free the address or change the settings", socket.address)
		}
		*socket.target = listener
	}
	l.peers = netmeter.Listen(netmeter.Peers, l.peers)
	l.callers = netmeter.Listen(netmeter.Callers, l.callers)
	return l, nil
}

// writeAddressFile writes the addresses to a temporary file and renames it, so
// that a reader never sees a partial file. It does nothing if no file is named.
func (l *listeners) writeAddressFile(name string) error {
	if name == "" {
		return nil
	}
	data, err := json.Marshal(addresses{
		Callers:   l.callers.Addr().String(),
		Operators: l.operators.Addr().String(),
		Peers:     l.peers.Addr().String(),
		Debug:     l.debug.Addr().String(),
	})
	if err != nil {
		return err
	}
	temporary := name + ".tmp"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return errors.Wrap(err, "write the address file")
	}
	return errors.Wrap(os.Rename(temporary, name), "write the address file")
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers, l.debug} {
		_ = listener.Close()
	}
}
