// Command bilberryslip-edge is the daemon that runs on every entry host of the
// users' platform and forwards routed requests.
package main

import (
	"bilberryslip.example/bilberryslip/internal/edge"
	"bilberryslip.example/bilberryslip/internal/program"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/platform"
)

func main() {
	program.Main("bilberryslip-edge", settings.LoadEdge, func(path string, s *settings.Edge) error {
		return edge.Run(path, s, platform.NewAdapter(s))
	})
}
