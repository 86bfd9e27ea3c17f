// Command benchlink runs the decision module on the simulator's wire.
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
