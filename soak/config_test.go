package soak

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestInvalidConfigIsRejected(t *testing.T) {
	g := NewWithT(t)
	g.Expect(DefaultConfig().check()).To(Succeed())
	for message, invalidate := range map[string]func(*Config){
		"routers: 13":        func(c *Config) { c.Routers = 13 },
		"runs at once: 22":   func(c *Config) { c.Slot = 21 },
		"upstreams: 0":       func(c *Config) { c.Upstreams = 0 },
		"faults: 0 a second": func(c *Config) { c.Faults = 0 },
	} {
		c := DefaultConfig()
		invalidate(&c)
		g.Expect(c.check()).To(MatchError(ContainSubstring(message)))
		_, err := Execute(c)
		g.Expect(err).To(HaveOccurred())
	}
}
