package settings

import _ "embed"

// Example is a whole settings file whose comments give unit, default and effect.
//
//go:embed example.json
var Example string
