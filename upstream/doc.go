// Package upstream sends requests to engines and plain services and tells, for
// each failure, whether the request can have reached them.
package upstream
