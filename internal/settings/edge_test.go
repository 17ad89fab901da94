package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validEdge = `{
	"host": {"name": "edge-1", "zone": "z1"},
	"listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82", "metrics": "10.0.0.1:83"},
	"store": {"address": "10.0.0.9:90"},
	"bounds": {"grace": "4s", "quota_window": "6s"}
}`

func TestParseEdgeKeepsDefaultsOfOmittedFields(t *testing.T) {
	s, err := ParseEdge([]byte(validEdge))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.Grace.Std() != 4*time.Second || s.Bounds.QuotaWindow.Std() != 6*time.Second || s.Bounds.Lease.Std() != 3*time.Second {
		t.Errorf("bounds %+v", s.Bounds)
	}
}

func TestParseEdgeReportsEachFaultWithRemedy(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"no JSON":            {"{\n", "not JSON {\n", "not a JSON object"},
		"missing address":    {`"callers": "10.0.0.1:80", `, "", "listen.callers"},
		"name for address":   {"10.0.0.9:90", "store:90", "store.address"},
		"wrong type":         {`"edge-1"`, "7", "host.name"},
		"unknown field":      {`"store"`, `"stor"`, "stor: unknown field"},
		"duration of zero":   {`"6s"`, `"0s"`, "bounds.quota_window"},
		"no duration":        {`"4s"`, "4", "bounds.grace"},
		"two faults at once": {`"edge-1", "zone": "z1"`, `"Edge 1", "zone": "Z 1"`, "host.zone"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseEdge([]byte(strings.Replace(validEdge, c.from, c.to, 1)))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
			for _, fault := range invalid.Faults {
				if fault.Remedy == "" {
					t.Errorf("fault without a remedy: %v", fault)
				}
			}
		})
	}
}
