package cli

import (
	"strings"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// kindNames are the names of the kinds on the command line, in the singular.
var kindNames = []struct {
	name string
	kind apiv1.Kind
}{
	{"organisation", apiv1.Kind_KIND_ORGANISATION},
	{"key", apiv1.Kind_KIND_KEY},
	{"model", apiv1.Kind_KIND_MODEL},
	{"version", apiv1.Kind_KIND_VERSION},
	{"adapter", apiv1.Kind_KIND_ADAPTER},
	{"endpoint", apiv1.Kind_KIND_ENDPOINT},
	{"route", apiv1.Kind_KIND_ROUTE},
	{"placement-policy", apiv1.Kind_KIND_PLACEMENT_POLICY},
	{"rate-policy", apiv1.Kind_KIND_RATE_POLICY},
}

// parseKind returns the kind with the given name, in the singular or plural.
func parseKind(text string) (apiv1.Kind, error) {
	var known []string
	for _, entry := range kindNames {
		plural := entry.name + "s"
		if strings.HasSuffix(entry.name, "y") && entry.name != "key" {
			plural = strings.TrimSuffix(entry.name, "y") + "ies"
		}
		if text == entry.name || text == plural {
			return entry.kind, nil
		}
		known = append(known, entry.name)
	}
	return 0, &usageFault{errors.Newf("kind %q is not known; write one of %s", text, strings.Join(known, ", "))}
}

// kindName returns the name of a kind on the command line.
func kindName(kind apiv1.Kind) string {
	for _, entry := range kindNames {
		if entry.kind == kind {
			return entry.name
		}
	}
	return kind.String()
}
