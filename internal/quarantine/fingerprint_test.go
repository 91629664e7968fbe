package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
)

var _ = Describe("a fingerprint", func() {
	one := quarantine.Identity{Workspace: "weavers", Target: "POST a.example /x", Body: []byte("body")}
	for name, other := range map[string]quarantine.Identity{
		"workspace":                      {Workspace: "dyers", Target: one.Target, Body: one.Body},
		"target":                         {Workspace: one.Workspace, Target: "POST a.example /y", Body: one.Body},
		"body":                           {Workspace: one.Workspace, Target: one.Target, Body: []byte("other")},
		"border between target and body": {Workspace: one.Workspace, Target: one.Target + "b", Body: []byte("ody")},
	} {
		It("differs with the "+name, func() {
			Expect(one.Fingerprint()).To(Equal(one.Fingerprint()))
			Expect(other.Fingerprint()).NotTo(Equal(one.Fingerprint()))
		})
	}

	It("is parsed from its text form, and invalid text is rejected", func() {
		text, err := one.Fingerprint().MarshalText()
		Expect(err).NotTo(HaveOccurred())
		var f quarantine.Fingerprint
		Expect(f.UnmarshalText(text)).To(Succeed())
		Expect(f).To(Equal(one.Fingerprint()))
		Expect(f.UnmarshalText([]byte("ab"))).NotTo(Succeed())
		Expect(f.UnmarshalText([]byte("not hex"))).NotTo(Succeed())
	})
})
