package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// stateCommand prints the state dump of a host.
type stateCommand struct {
	Host string `arg:"positional" help:"host to dump; by default the one that serves the request"`
}

func (c *stateCommand) example() string {
	return "bilberryslip state qce-2-a"
}

func (c *stateCommand) run(ctx context.Context, s *session) error {
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.StateResponse, error) {
		return admin.State(ctx, &apiv1.StateRequest{Host: c.Host})
	})
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(response.Json), "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, indented.String())
	return err
}
