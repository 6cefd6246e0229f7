package soak

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The history has 100 requests per second; those of the first three seconds are rejected.
func TestRecoveryTimeIsTheEndOfTheLastBadWindow(t *testing.T) {
	g := NewWithT(t)
	h := &History{}
	for at := time.Duration(0); at < 10*second; at += 10 * time.Millisecond {
		status := http.StatusOK
		if at < 3*second {
			status = http.StatusServiceUnavailable
		}
		h.Requests = append(h.Requests, Request{Sent: at, Complete: true, Status: status})
	}
	g.Expect(RecoveryTime(h, 0, 10*second)).To(BeNumerically("~", 3*second, recoveryWindow))
	g.Expect(RecoveryTime(h, 4*second, 10*second)).To(BeZero())
	g.Expect(RecoveryTime(h, 0, 2*second)).To(Equal(2*second), "the fleet had not recovered by then")
}
