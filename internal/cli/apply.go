package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/google/uuid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// applyCommand creates or updates the objects of one or more manifests in a
// single change.
type applyCommand struct {
	Files  []string `arg:"-f,--file,separate,required" help:"manifest in JSON, or - for standard input; repeat to apply several files as one change" placeholder:"FILE"`
	DryRun bool     `arg:"--dry-run" help:"show what would change and write nothing"`
	Wait   int32    `arg:"--wait-millis" default:"2000" help:"how long to wait for hosts to confirm"`
}

func (c *applyCommand) example() string {
	return "bilberryslip --server http://10.0.0.1:7001 apply -f examples/aqej/config.json --dry-run"
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	var objects []*apiv1.Object
	for _, file := range c.Files {
		more, err := readManifest(file, s.in)
		if err != nil {
			return err
		}
		objects = append(objects, more...)
	}
	mutations, err := mutationsFor(ctx, s.client, objects)
	if err != nil {
		return err
	}
	return s.apply(ctx, &apiv1.ApplyRequest{Mutations: mutations, DryRun: c.DryRun, WaitMillis: c.Wait})
}

// apply sends a change under a new change identifier and prints the result.
func (s *session) apply(ctx context.Context, request *apiv1.ApplyRequest) error {
	request.ChangeId = uuid.NewString()
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ApplyResponse, error) {
		return admin.Apply(ctx, request)
	})
	if err != nil {
		return err
	}
	return s.printApplied(response, request.DryRun)
}

// printApplied prints the difference of a dry run, or else the revision and the
// hosts that have not confirmed it.
func (s *session) printApplied(response *apiv1.ApplyResponse, dryRun bool) error {
	if s.json {
		return s.printJSON(response)
	}
	if dryRun {
		for _, line := range response.Difference {
			fmt.Fprintln(s.out, line)
		}
		fmt.Fprintf(s.out, "dry run: %d objects would change; nothing was written\n", len(response.Difference))
		return nil
	}
	fmt.Fprintf(s.out, "accepted as revision %d; in force on %d hosts, not confirmed by %d\n",
		response.Revision, len(response.Confirmed), len(response.Unconfirmed))
	var rows [][]string
	for _, host := range response.Unconfirmed {
		rows = append(rows, []string{host.Host, host.Zone, strconv.FormatInt(host.Revision, 10), formatAge(host.AgeMillis)})
	}
	if len(rows) == 0 {
		return nil
	}
	return s.printTable([]string{"UNCONFIRMED", "ZONE", "REVISION", "LAST HEARD"}, rows)
}
