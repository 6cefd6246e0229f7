// Package jsonc strictly decodes JSON with comments. Every unknown field, duplicate
// field and value of a wrong type is reported as a finding with its line and column,
// and all findings of a file are reported together.
package jsonc
