package exchange

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// hostEntry is the value of a KindHost object in the store.
type hostEntry struct {
	// Address is the host's peer service as IP:PORT.
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// decodeEntry decodes a host's entry. It returns an error that names the field if one can't
// be used: another program may have written it.
func decodeEntry(object objectstore.Object) (hostEntry, error) {
	var entry hostEntry
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return hostEntry{}, errors.Wrap(err, "decoding the host's entry")
	}
	if entry.Incarnation == "" {
		return hostEntry{}, errors.New("field incarnation is missing")
	}
	host, port, err := net.SplitHostPort(entry.Address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || host == "" || n == 0 {
		return hostEntry{}, errors.Newf("field address is %.60q; it must be HOST:PORT with a port from 1 to 65535", entry.Address)
	}
	return entry, nil
}
