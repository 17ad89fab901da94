package cli

import (
	"context"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// deleteCommand deletes one object.
type deleteCommand struct {
	Kind   string `arg:"positional,required" help:"kind, such as adapter"`
	Name   string `arg:"positional,required" help:"name of the object"`
	DryRun bool   `arg:"--dry-run" help:"check only and write nothing"`
}

func (c *deleteCommand) example() string {
	return "bilberryslip delete adapter draft-fr-sapphires"
}

func (c *deleteCommand) run(ctx context.Context, s *session) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	response, err := getObject(ctx, s.client, kind, c.Name)
	if err != nil {
		return err
	}
	mutation := &apiv1.Mutation{Kind: kind, Name: c.Name, ExpectedVersion: response.GetObject().GetVersion(), Delete: true}
	return s.apply(ctx, &apiv1.ApplyRequest{Mutations: []*apiv1.Mutation{mutation}, DryRun: c.DryRun})
}
