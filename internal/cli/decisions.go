package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// decisionsCommand queries the recorded decisions.
type decisionsCommand struct {
	ID           string        `arg:"--id" help:"identifier of one decision"`
	Kind         string        `arg:"--kind" help:"place, refuse, move, stop or route"`
	Organisation string        `arg:"--organisation"`
	Model        string        `arg:"--model"`
	Endpoint     string        `arg:"--endpoint"`
	Request      string        `arg:"--request" help:"request identifier"`
	Since        time.Duration `arg:"--since" help:"maximum age of the decisions, such as 2h"`
	Limit        int32         `arg:"--limit" default:"100"`
}

func (c *decisionsCommand) example() string {
	return "bilberryslip decisions --kind refuse --organisation quebec-jewellers --since 2h"
}

func (c *decisionsCommand) run(ctx context.Context, s *session) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	response, err := call(ctx, s.client, func(ctx context.Context, admin apiv1.Admin) (*apiv1.DecisionsResponse, error) {
		return admin.Decisions(ctx, request)
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(response)
	}
	return s.printDecisions(response)
}

func (c *decisionsCommand) request() (*apiv1.DecisionsRequest, error) {
	request := &apiv1.DecisionsRequest{
		Id: c.ID, Organisation: c.Organisation, Model: c.Model, Endpoint: c.Endpoint, RequestId: c.Request, Limit: c.Limit,
	}
	if c.Kind != "" {
		kind, ok := apiv1.DecisionKind_value["DECISION_KIND_"+strings.ToUpper(c.Kind)]
		if !ok {
			return nil, &usageFault{errors.Newf("decision kind %q is not known; write place, refuse, move, stop or route", c.Kind)}
		}
		request.Kind = apiv1.DecisionKind(kind)
	}
	if c.Since > 0 {
		request.SinceUnixMillis = time.Now().Add(-c.Since).UnixMilli()
	}
	return request, nil
}

func (s *session) printDecisions(response *apiv1.DecisionsResponse) error {
	var rows [][]string
	for _, d := range response.Decisions {
		kind := strings.ToLower(strings.TrimPrefix(d.Kind.String(), "DECISION_KIND_"))
		rows = append(rows, []string{formatMillis(d.UnixMillis), d.Id, kind, d.Host, d.Organisation, d.Model, d.Endpoint, d.Reason, inputs(d)})
	}
	if len(response.MissingHosts) > 0 {
		fmt.Fprintf(s.errOut, "no response from: %s; their newest records may be missing\n", strings.Join(response.MissingHosts, ", "))
	}
	return s.printTable([]string{"TIME", "ID", "KIND", "HOST", "ORGANISATION", "MODEL", "ENDPOINT", "REASON", "INPUTS"}, rows)
}

// inputs formats the inputs of a decision as name=value pairs.
func inputs(d *apiv1.Decision) string {
	var parts []string
	for _, input := range d.Inputs {
		parts = append(parts, input.Name+"="+input.Value)
	}
	return strings.Join(parts, " ")
}
