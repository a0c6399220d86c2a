// Command cicadawall runs an entry instance of the request router, and provides the commands to configure it and show its status.
package main

import (
	"os"

	"github.com/cicadawall/cicadawall/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
