package cli

import (
	"context"
	"fmt"

	"bilberryslip.example/bilberryslip/internal/version"
)

// versionCommand shows the version of the tool.
type versionCommand struct{}

func (c *versionCommand) example() string {
	return "bilberryslip version"
}

func (c *versionCommand) run(_ context.Context, s *session) error {
	_, err := fmt.Fprintln(s.out, version.String())
	return err
}
