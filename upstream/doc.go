// Package upstream sends requests to engines and plain services and reports, for each
// failure, whether the request may have reached them.
package upstream
