package cli

import (
	"context"
	"fmt"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// forgetCommand declares a host dead, which frees its rate shares and marks its
// orders to engines as ended.
type forgetCommand struct {
	Name string `arg:"positional,required" help:"name of a host that has certainly stopped"`
}

func (c *forgetCommand) example() string {
	return "bilberryslip forget qce-1-b"
}

func (c *forgetCommand) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ForgetHostResponse, error) {
		return admin.ForgetHost(ctx, &apiv1.ForgetHostRequest{Name: c.Name})
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "the shares of host %s are free\n", c.Name)
	return err
}
