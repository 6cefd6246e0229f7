package daemon_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the page of proofs", func() {
	It("names only tests that exist", func() {
		page, err := os.ReadFile("../docs/PROOFS.md")
		Expect(err).NotTo(HaveOccurred())
		files, err := filepath.Glob("../*/*_test.go")
		Expect(err).NotTo(HaveOccurred())
		programs, err := filepath.Glob("../cmd/*/*_test.go")
		Expect(err).NotTo(HaveOccurred())
		files = append(files, programs...)
		var source strings.Builder
		for _, file := range files {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			source.Write(raw)
		}
		names := regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
		Expect(len(names)).To(BeNumerically(">", 20))
		for _, name := range names {
			Expect(source.String()).To(ContainSubstring("func " + name[1] + "("))
		}
		specs := regexp.MustCompile(`[DB] "([^"]+)"`).FindAllStringSubmatch(string(page), -1)
		Expect(len(specs)).To(BeNumerically(">", 10))
		for _, spec := range specs {
			Expect(source.String()).To(ContainSubstring(`It("` + spec[1] + `"`))
		}
	})
})
