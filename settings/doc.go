// Package settings holds a router process's own settings: its addresses, its
// failure domain, where the platform is, and who may do what. They come from a
// file of JSON with comments; everything about teams and upstreams is in the
// bundle instead.
package settings
