package main

import "fmt"

// mechanism is a part of the placement and pacing decisions. Its benefit is measured by
// simulating days of load without it.
type mechanism struct {
	Name  string `json:"name"`
	Edits []edit `json:"edits"`
}

// listMechanisms prints the names of the mechanisms, one per line.
func listMechanisms() error {
	all, err := readMechanisms()
	for _, m := range all {
		fmt.Println(m.Name)
	}
	return err
}

func readMechanisms() (all []mechanism, err error) {
	err = readList("prove/mechanisms.json", &all)
	return all, err
}

// writeCopyWithout writes a copy of the source without the named mechanism to dir. The
// source is edited because the product has no setting that turns a mechanism off.
func writeCopyWithout(name, dir string) error {
	all, err := readMechanisms()
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
	return fmt.Errorf("unknown mechanism %q", name)
}
