package cli

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// keyCommand groups the subcommands that grant and withdraw keys.
type keyCommand struct {
	Grant    *keyGrantCommand    `arg:"subcommand:grant" help:"create a key and show its secret, this once"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"end a key"`
}

func (c *keyCommand) example() string {
	return "bilberryslip key grant counter-1 --organisation quebec-jewellers"
}

func (c *keyCommand) run(context.Context, *session) error {
	return &usageFault{errors.New("write key grant or key withdraw")}
}

// keyGrantCommand creates a key and prints its secret on standard output.
type keyGrantCommand struct {
	Name         string `arg:"positional,required" help:"name of the key"`
	Organisation string `arg:"--organisation,required" help:"organisation that the key belongs to"`
}

func (c *keyGrantCommand) example() string {
	return "bilberryslip key grant counter-1 --organisation quebec-jewellers"
}

func (c *keyGrantCommand) run(ctx context.Context, s *session) error {
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.GrantKeyResponse, error) {
		return admin.GrantKey(ctx, &apiv1.GrantKeyRequest{Name: c.Name, Organisation: c.Organisation})
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(response)
	}
	fmt.Fprintln(s.errOut, "The secret is shown this once; keep it now.")
	_, err = fmt.Fprintln(s.out, response.Secret)
	return err
}

// keyWithdrawCommand withdraws a key and waits for hosts to confirm it.
type keyWithdrawCommand struct {
	Name string `arg:"positional,required" help:"name of the key"`
	Wait int32  `arg:"--wait-millis" default:"5000" help:"how long to wait for hosts to confirm"`
}

func (c *keyWithdrawCommand) example() string {
	return "bilberryslip key withdraw counter-1"
}

func (c *keyWithdrawCommand) run(ctx context.Context, s *session) error {
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ApplyResponse, error) {
		return admin.WithdrawKey(ctx, &apiv1.WithdrawKeyRequest{Name: c.Name, WaitMillis: c.Wait})
	})
	if err != nil {
		return err
	}
	return s.printApplied(response, false)
}
