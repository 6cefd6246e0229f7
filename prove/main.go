// Command prove runs mutation tests and prepares ablations. It verifies that the failure
// tests can fail, and writes copies of the source without one mechanism, so that the
// mechanism's benefit can be measured. It is a developer tool and not part of the product.
//
//	prove                  removes one safeguard at a time; its test must fail without it
//	prove NAME             the same for the safeguards whose names contain NAME
//	prove mechanisms       lists the mechanisms
//	prove without NAME DIR writes a copy of the source without a mechanism to DIR
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	switch {
	case len(args) == 0:
		return testSafeguards("")
	case args[0] == "mechanisms":
		return listMechanisms()
	case args[0] != "without":
		return testSafeguards(args[0])
	case len(args) != 3:
		return errors.New("usage: prove without NAME DIR")
	}
	return writeCopyWithout(args[1], args[2])
}
