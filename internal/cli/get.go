package cli

import (
	"context"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// getCommand shows one object.
type getCommand struct {
	Kind string `arg:"positional,required" help:"kind, such as model"`
	Name string `arg:"positional,required" help:"name of the object"`
}

func (c *getCommand) example() string {
	return "bilberryslip get model draft-fr"
}

func (c *getCommand) run(ctx context.Context, s *session) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	response, err := getObject(ctx, s.client, kind, c.Name)
	if err != nil {
		return err
	}
	return s.printJSON(response.Object)
}

func getObject(ctx context.Context, c *client, kind apiv1.Kind, name string) (*apiv1.GetResponse, error) {
	return call(ctx, c, func(ctx context.Context, admin apiv1.Admin) (*apiv1.GetResponse, error) {
		return admin.Get(ctx, &apiv1.GetRequest{Kind: kind, Name: name})
	})
}
