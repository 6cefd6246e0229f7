package settings

import _ "embed"

// Example is a complete settings file. Its comments state the unit, the default and the
// effect of each setting.
//
//go:embed example.json
var Example string
