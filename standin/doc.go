// Package standin holds small fakes of what aspenswitch meets: the platform's
// configuration service, a model engine, and a plain service. Tests and the demo
// run them; they are no part of the product.
package standin
