// Command benchlink hosts instances of the decision module for the simulator: it reads batches of events on
// standard input and writes replies on standard output. It ends at the end of input, or with status 1 and
// one line on standard error.
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
