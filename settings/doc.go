// Package settings defines, loads and validates the settings of a router process: its
// addresses, its failure domain, the address of the platform and the permissions of
// operators. They are read from a file of JSON with comments. Everything about teams and
// upstreams is in the bundle or in the platform's store instead.
package settings
