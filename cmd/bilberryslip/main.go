// Command bilberryslip is the operators' command-line tool.
package main

import (
	"os"

	"bilberryslip.example/bilberryslip/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
