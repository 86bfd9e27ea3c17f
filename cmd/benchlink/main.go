// Command benchlink runs the decision module on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"thymechute/internal/link"
)

func main() {
	if err := link.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
