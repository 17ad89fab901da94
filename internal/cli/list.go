package cli

import (
	"context"
	"strconv"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// listCommand lists the objects of one kind or of all kinds.
type listCommand struct {
	Kind string `arg:"positional" help:"kind, such as models; empty lists all"`
}

func (c *listCommand) example() string {
	return "bilberryslip list models -o json"
}

func (c *listCommand) run(ctx context.Context, s *session) error {
	var kind apiv1.Kind
	if c.Kind != "" {
		parsed, err := parseKind(c.Kind)
		if err != nil {
			return err
		}
		kind = parsed
	}
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ListResponse, error) {
		return admin.List(ctx, &apiv1.ListRequest{Kind: kind})
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(response)
	}
	var rows [][]string
	for _, object := range response.Objects {
		key := config.KeyOf(object)
		rows = append(rows, []string{kindName(key.Kind), key.Name, strconv.FormatInt(object.Version, 10)})
	}
	return s.printTable([]string{"KIND", "NAME", "VERSION"}, rows)
}
