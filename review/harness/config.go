package harness

import (
	"encoding/json"
	"fmt"
)

// Config is the value of op/config, with the fields that the scripts use.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route is a route of a configuration.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	TargetGapMs     int    `json:"targetGapMs,omitempty"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// Limits are the limits on callers.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
	TokensPerS      int `json:"tokensPerS"`
}

// Tenant is a tenant with its keys.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// Names that all scripts use.
const (
	Host    = "ficu95.example"
	Key     = "asnmgkcuyj8pjbvk9m68"
	AppName = "wuno96b"
)

// NewConfig returns version 3 of the configuration of a small deployment: one service and one tenant.
func NewConfig(routes ...Route) *Config {
	return &Config{
		Version: 3, Routes: routes,
		Services: []Service{{Name: AppName, HealthPath: "/health", MaxConns: 110, Protocol: "h1"}},
		Limits:   Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TokensPerS: 320000},
		Tenants:  []Tenant{{Name: "hule930", APIKeys: []string{Key}}},
	}
}

// PlainRoute returns a route of a plain service. Kind is safe or unsafe.
func PlainRoute(n int, kind string) Route {
	return Route{
		Name: fmt.Sprintf("r-%07d", n), Host: Host, PathPrefix: Prefix(n), Kind: kind,
		TimeoutMs: 1500, TargetLatencyMs: 150, Priority: 2, Service: AppName, MaxAttempts: 2,
	}
}

// Prefix returns the path prefix of a route.
func Prefix(n int) string { return fmt.Sprintf("/p%06d/", n) }

// Encode returns the value of op/config.
func (c *Config) Encode() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // the fields can always be encoded
	}
	return raw
}
