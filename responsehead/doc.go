// Package responsehead checks whether received bytes are the head of a valid HTTP/1.1 response: its status
// line and its header.
//
// net/http reads more than is a response: status 000, which looks like an interim response, names with
// blanks, so that "Content-Length : 5" is no length, and folded lines. What a parser passes over, another
// one on the way to the caller may read otherwise, so such a head is refused as a whole. The package
// performs no I/O.
package responsehead
