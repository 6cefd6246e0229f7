package main

import "fmt"

// mechanism is a part of the decisions whose worth is measured by playing days without it.
type mechanism struct {
	Name  string `json:"name"`
	Edits []edit `json:"edits"`
}

// listMechanisms prints the mechanisms' names.
func listMechanisms() error {
	all, err := mechanisms()
	for _, m := range all {
		fmt.Println(m.Name)
	}
	return err
}

func mechanisms() (all []mechanism, err error) {
	err = readList("prove/mechanisms.json", &all)
	return all, err
}

// writeWithout writes a copy of the source without a mechanism. The product has no switch
// for any of them.
func writeWithout(name, dir string) error {
	all, err := mechanisms()
	if err != nil {
		return err
	}
	for _, m := range all {
		if m.Name != name {
			continue
		}
		if err := copyTree(dir); err != nil {
			return err
		}
		for _, e := range m.Edits {
			if _, err := e.apply(dir); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		return nil
	}
	return fmt.Errorf("no mechanism is called %q", name)
}
