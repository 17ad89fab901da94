package cli

import (
	"context"
	"fmt"
	"strconv"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// statusCommand shows which revision is in force on which host.
type statusCommand struct{}

func (c *statusCommand) example() string {
	return "bilberryslip --server http://10.0.0.1:7001 status"
}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.StatusResponse, error) {
		return admin.Status(ctx, &apiv1.StatusRequest{})
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(response)
	}
	fmt.Fprintf(s.out, "highest revision %d; platform available: %t, last answered %s ago\n",
		response.Revision, response.PlatformAvailable, formatAge(response.PlatformAgeMillis))
	var rows [][]string
	for _, host := range response.Hosts {
		rows = append(rows, []string{
			host.Host, host.Zone, strconv.FormatInt(host.Revision, 10), formatAge(host.AgeMillis), strconv.FormatBool(host.Leaving),
		})
	}
	return s.printTable([]string{"HOST", "ZONE", "REVISION", "LAST HEARD", "LEAVING"}, rows)
}
