// Command benchlink runs instances of package policy for the simulator: it reads batches of events from
// standard input and writes a reply to each on standard output. It exits with status 0 at the end of input, or
// with status 1 and one line on standard error.
package main

import (
	"fmt"
	"os"

	"thymechute/internal/simhost"
)

func main() {
	if err := simhost.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
