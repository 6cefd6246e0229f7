// Package jsonc reads JSON with comments strictly: every unknown field, doubled
// field and value of a wrong type is a finding with its line and column, and
// all of them are reported together.
package jsonc
