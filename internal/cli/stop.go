package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// maxDumpBytes bounds a state dump that is read from an address.
const maxDumpBytes = 64 << 20

// stopCommand shows how far the shutdowns of hosts have come.
type stopCommand struct {
	Hosts []string `arg:"positional" help:"hosts to show; by default the one that serves the request"`
	Dumps []string `arg:"--dump,separate" help:"URL of the state dump of a host that has no operators' interface" placeholder:"URL"`
}

func (c *stopCommand) example() string {
	return "bilberryslip stop --dump http://10.0.0.1:7601/debug/state"
}

// stopDump is the part of a state dump that tells of a shutdown. Requests are those of a
// bilberryslip-edge, Gateway those of a bilberryslipd.
type stopDump struct {
	Stop struct {
		Phase       string `json:"phase"`
		ElapsedMS   int64  `json:"elapsedMS"`
		RemainingMS int64  `json:"remainingMS"`
		Decisions   struct {
			Admitted int `json:"admitted"`
			Refused  int `json:"refused"`
		} `json:"decisions"`
	} `json:"stop"`
	Requests []struct {
		Request      string `json:"request"`
		Service      string `json:"service"`
		Endpoint     string `json:"endpoint"`
		AgeMS        int64  `json:"ageMS"`
		DeadlineInMS int64  `json:"deadlineInMS"`
	} `json:"requests"`
	Gateway struct {
		Running []struct {
			RequestID string `json:"requestId"`
			Model     string `json:"model"`
			Endpoint  string `json:"endpoint"`
			AgeMillis int64  `json:"ageMillis"`
		} `json:"running"`
	} `json:"gateway"`
}

func (c *stopCommand) run(ctx context.Context, s *session) error {
	hosts := c.Hosts
	if len(hosts) == 0 && len(c.Dumps) == 0 {
		hosts = []string{""}
	}
	dumps := make(map[string]stopDump)
	var names []string
	add := func(name string, data []byte) error {
		var dump stopDump
		if err := json.Unmarshal(data, &dump); err != nil {
			return errors.Wrapf(err, "the state dump of %s can't be read; check that it is a host of this version", name)
		}
		if dump.Stop.Phase == "" {
			return errors.Newf("the state dump of %s does not tell of shutdowns; the host runs an older version", name)
		}
		names, dumps[name] = append(names, name), dump
		return nil
	}
	for _, host := range hosts {
		response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.StateResponse, error) {
			return admin.State(ctx, &apiv1.StateRequest{Host: host})
		})
		if err != nil {
			return err
		}
		if host == "" {
			host = "this host"
		}
		if err := add(host, []byte(response.Json)); err != nil {
			return err
		}
	}
	for _, address := range c.Dumps {
		name, data, err := readDump(ctx, address)
		if err != nil {
			return err
		}
		if err := add(name, data); err != nil {
			return err
		}
	}
	return s.printStops(names, dumps)
}

// readDump reads a state dump and returns the name of the host in its address.
func readDump(ctx context.Context, address string) (host string, data []byte, err error) {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		return "", nil, &usageFault{errors.Newf("%q is no URL of a state dump; write one such as http://10.0.0.1:7601/debug/state", address)}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return "", nil, &usageFault{err}
	}
	response, err := (&http.Client{Transport: newTransport()}).Do(request)
	if err != nil {
		return "", nil, errors.Wrapf(err, "read the state dump at %s; the process may have ended", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", nil, errors.Newf("the state dump at %s answers %s; check the address", address, response.Status)
	}
	data, err = io.ReadAll(io.LimitReader(response.Body, maxDumpBytes))
	return parsed.Host, data, errors.Wrapf(err, "read the state dump at %s", address)
}

// printStops prints a line per host and one per request that runs there.
func (s *session) printStops(names []string, dumps map[string]stopDump) error {
	if s.json {
		data, err := json.MarshalIndent(dumps, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(s.out, string(data))
		return err
	}
	var rows, running [][]string
	for _, name := range names {
		d := dumps[name]
		for _, r := range d.Requests {
			running = append(running, []string{name, r.Request, r.Service, r.Endpoint, formatAge(r.AgeMS), formatAge(r.DeadlineInMS)})
		}
		for _, r := range d.Gateway.Running {
			running = append(running, []string{name, r.RequestID, r.Model, r.Endpoint, formatAge(r.AgeMillis), "-"})
		}
		since, most := "-", "-"
		if d.Stop.Phase != "serving" {
			since, most = formatAge(d.Stop.ElapsedMS), formatAge(d.Stop.RemainingMS)
		}
		rows = append(rows, []string{
			name, d.Stop.Phase, since, most, strconv.Itoa(len(d.Requests) + len(d.Gateway.Running)),
			strconv.Itoa(d.Stop.Decisions.Admitted), strconv.Itoa(d.Stop.Decisions.Refused),
		})
	}
	if err := s.printTable([]string{"HOST", "PHASE", "SINCE SIGNAL", "ENDS WITHIN", "RUNNING", "ADMITTED", "REFUSED"}, rows); err != nil || len(running) == 0 {
		return err
	}
	fmt.Fprintln(s.out)
	return s.printTable([]string{"HOST", "REQUEST", "SERVICE", "ENDPOINT", "AGE", "DEADLINE IN"}, running)
}
