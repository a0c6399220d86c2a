// Command cicadawall is the router: entry instance, configuration tool and status viewer in one binary.
package main

import (
	"os"

	"github.com/cicadawall/cicadawall/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
