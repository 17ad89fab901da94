package settings

import (
	"errors"
	"os"
	"regexp"
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

// Guards against a template that is valid JSON only in deployments with the feature, or
// only in those without it.
func TestTheTemplateEnablesEvacuationsOnlyWhereTheDeploymentHasThem(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`\{\{#bounds.evacuationMs\}\}(.*?)\{\{/bounds.evacuationMs\}\}`)
	for name, c := range map[string]struct {
		section string
		want    time.Duration
	}{"with": {"$1", 5 * time.Second}, "without": {"", 0}} {
		text := section.ReplaceAllString(string(raw), c.section)
		for field, value := range map[string]string{
			"nodeName|json": `"edge-1"`, "zone|json": `"z1"`, "region|json": `"r"`, "bootstrap|json": "true", "limits.memoryMb|json": "284",
			"listen.frontend|json": `"10.0.0.1:80"`, "listen.readiness|json": `"10.0.0.1:81"`, "platform.address|json": `"10.0.0.9:90"`,
			"ip": "10.0.0.1", "internalPorts.0": "82", "bounds.evacuationMs": "5000",
		} {
			text = strings.ReplaceAll(text, "{{"+field+"}}", value)
		}
		text = regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "4")
		s, err := ParseEdge([]byte(text))
		if err != nil {
			t.Errorf("%s: %v\n%s", name, err, text)
		}
		if s.Bounds.Evacuation.Std() != c.want {
			t.Errorf("%s: evacuation %v, want %v", name, s.Bounds.Evacuation.Std(), c.want)
		}
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
		"no time to stop":    {`"4s"`, `"3.4s"`, "bounds.grace: 3.4s is too short for a shutdown; give at least 3.5s"},
		"negative duration":  {`"4s"`, `"4s", "evacuation": "-1s"`, "bounds.evacuation"},
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
