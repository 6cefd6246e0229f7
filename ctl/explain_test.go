package ctl_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/ctl"
)

const sampleLog = `not a line of ours
10.2 r1 {"level":"warn","process":"r1","event":"platform","time":1000900,"message":"platform unreachable","age_ms":900}
{"level":"info","process":"r2","event":"config","time":1001000,"message":"configuration in force","version":4}
{"level":"info","process":"r1","event":"upstream","upstream":"u9","time":1001100,"message":"upstream gone"}
{"level":"info","process":"r1","event":"upstream","upstream":"u1","time":1001200,"message":"upstream gone"}
{"level":"warn","process":"r1","event":"failed","request":"abc","upstream":"u1","cause":"unreachable","took_ms":300,"time":1001500,"message":"request"}
{"level":"warn","process":"r3","event":"decision","request":"abc","team":"schools","time":1001300,"message":"refused by the home"}
{"level":"warn","process":"r1","event":"failed","request":"other","time":1001400,"message":"request"}
`

// Guards against output that misses lines of the request from some router or recent
// state changes at its router, or that includes state changes at other routers or of
// upstreams that the request was not sent to.
func TestExplainPrintsLinesRelatedToOneRequest(t *testing.T) {
	g := NewWithT(t)
	lines := explain(g, "abc", sampleLog)
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[0]).To(ContainSubstring("platform unreachable"))
	g.Expect(lines[1]).To(ContainSubstring("upstream=u1"))
	g.Expect(lines[2]).To(ContainSubstring("refused by the home"))
	g.Expect(lines[3]).To(ContainSubstring("cause=unreachable"))
}

func TestExplainFailsForUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(ctl.Explain(&out, "zzz", strings.NewReader(sampleLog))).NotTo(Succeed())
}

// explain returns the lines of the explanation of a request.
func explain(g *WithT, request, log string) []string {
	var out bytes.Buffer
	g.Expect(ctl.Explain(&out, request, strings.NewReader(log))).To(Succeed())
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

const quarantineLog = `
{"level":"warn","process":"r2","event":"quarantine","team":"schools","content":"ab12","status":"quarantined","crashes":3,"time":1000000,"message":"quarantine status of a content changed"}
{"level":"warn","process":"r2","event":"quarantine","team":"homes","content":"ab12","status":"suspect","crashes":2,"time":1000000,"message":"quarantine status of a content changed"}
{"level":"warn","process":"r1","event":"failed","request":"abc","team":"schools","content":"ab12","cause":"quarantined","took_ms":1,"time":1300000,"message":"request"}
`

// Guards against output that omits why the content of a rejected request is in quarantine.
func TestExplainShowsQuarantineOfRequestContent(t *testing.T) {
	g := NewWithT(t)
	lines := explain(g, "abc", quarantineLog)
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(ContainSubstring("status=quarantined"))
}

const partLog = `
{"level":"warn","process":"r2","event":"upstream_broke","request":"x1","team":"schools","content":"1","upstream":"u1","parts":"5a,bad,1","answer_started":false,"time":999000,"message":"upstream closed the connection while handling a request"}
{"level":"warn","process":"r2","event":"upstream_broke","request":"x2","team":"schools","content":"2","upstream":"u1","parts":"5a,bad,2","answer_started":true,"time":999000,"message":"upstream closed the connection while handling a request"}
{"level":"warn","process":"r2","event":"upstream_broke","request":"x3","team":"schools","content":"3","upstream":"u1","parts":"5a,3","answer_started":false,"time":999000,"message":"upstream closed the connection while handling a request"}
{"level":"warn","process":"r2","event":"quarantine","part":"bad","status":"quarantined","crashes":4,"time":1000000,"message":"quarantine status of a content or a part changed"}
{"level":"warn","process":"r2","event":"quarantine","part":"5a","status":"quarantined","crashes":4,"time":1000000,"message":"quarantine status of a content or a part changed"}
{"level":"warn","process":"r1","event":"failed","request":"abc","team":"homes","part":"bad","cause":"quarantined","took_ms":1,"time":1300000,"message":"request"}
`

// Guards against output that omits why a part of a rejected request's prompt is in quarantine.
func TestExplainShowsQuarantineOfAPart(t *testing.T) {
	g := NewWithT(t)
	lines := explain(g, "abc", partLog)
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(ContainSubstring("request=x1"))
	g.Expect(lines[1]).To(ContainSubstring("part=bad"))
}
