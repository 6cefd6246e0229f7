// Command prove shows what the source needs: that the failure tests can fail, and what a
// part of the decisions is worth. It is a tool for developers, no part of the product.
//
//	prove                  takes out one safeguard at a time; its test must fail without it
//	prove NAME             the safeguards whose names hold it
//	prove mechanisms       lists the mechanisms of the decisions
//	prove without NAME DIR writes a copy of the source without a mechanism
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
		return proveSafeguards("")
	case args[0] == "mechanisms":
		return listMechanisms()
	case args[0] != "without":
		return proveSafeguards(args[0])
	case len(args) != 3:
		return errors.New("usage: prove without NAME DIR")
	}
	return writeWithout(args[1], args[2])
}
