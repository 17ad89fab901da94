package cli

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// drainCommand drains an endpoint or a host: it gets no new work.
type drainCommand struct {
	What   string `arg:"positional,required" help:"endpoint or host"`
	Name   string `arg:"positional,required" help:"name of the endpoint or host"`
	Resume bool   `arg:"--resume" help:"resume sending work to the endpoint"`
}

func (c *drainCommand) example() string {
	return "bilberryslip drain endpoint qce-1-draft-3"
}

func (c *drainCommand) run(ctx context.Context, s *session) error {
	switch c.What {
	case "endpoint":
		return c.drainEndpoint(ctx, s)
	case "host":
		return c.drainHost(ctx, s)
	default:
		return &usageFault{errors.Newf("%q can't be drained; write endpoint or host", c.What)}
	}
}

func (c *drainCommand) drainEndpoint(ctx context.Context, s *session) error {
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ApplyResponse, error) {
		return admin.DrainEndpoint(ctx, &apiv1.DrainEndpointRequest{Name: c.Name, Resume: c.Resume})
	})
	if err != nil {
		return err
	}
	return s.printApplied(response, false)
}

func (c *drainCommand) drainHost(ctx context.Context, s *session) error {
	if c.Resume {
		return &usageFault{errors.New("a draining host cannot be resumed; start it again")}
	}
	_, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.DrainHostResponse, error) {
		return admin.DrainHost(ctx, &apiv1.DrainHostRequest{Name: c.Name})
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "host %s is leaving; it finishes its requests and exits\n", c.Name)
	return err
}
