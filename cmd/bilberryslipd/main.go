// Command bilberryslipd is the daemon that runs on every entry host.
package main

import (
	"bilberryslip.example/bilberryslip/internal/daemon"
	"bilberryslip.example/bilberryslip/internal/program"
	"bilberryslip.example/bilberryslip/internal/settings"
)

func main() {
	program.Main("bilberryslipd", settings.Load, func(_ string, s *settings.Settings) error { return daemon.Run(s) })
}
