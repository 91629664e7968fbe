package session_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/session"
)

var (
	oldKey = session.Key{ID: "k1", Secret: []byte("the old secret, which is long enough")}
	newKey = session.Key{ID: "k2", Secret: []byte("the new secret, which is long enough")}
	pin    = session.Pin{Workspace: "clerks", ID: "s1", Version: declare.Ref{Model: "support", Version: "7"}}
)

var _ = Describe("a session token", func() {
	It("verifies to the pin that was signed", func() {
		token, err := session.NewKeyring([]session.Key{oldKey}).Sign(pin)
		Expect(err).NotTo(HaveOccurred())
		Expect(session.NewKeyring([]session.Key{oldKey}).Verify(token)).To(Equal(pin))
	})

	It("stays valid after key rotation until its key is removed", func() {
		token, err := session.NewKeyring([]session.Key{oldKey}).Sign(pin)
		Expect(err).NotTo(HaveOccurred())
		Expect(session.NewKeyring([]session.Key{newKey, oldKey}).Verify(token)).To(Equal(pin))
		_, err = session.NewKeyring([]session.Key{newKey}).Verify(token)
		Expect(err).To(MatchError(session.ErrUnknownKey))
	})

	It("is rejected when any byte of it is changed", func() {
		ring := session.NewKeyring([]session.Key{oldKey})
		token, err := ring.Sign(pin)
		Expect(err).NotTo(HaveOccurred())
		for i := range token {
			for _, c := range []string{"A", "~", "z"} {
				changed := token[:i] + c + token[i+1:]
				got, err := ring.Verify(changed)
				if changed != token && err == nil {
					Expect(got).To(Equal(pin), "only the unused bits of the last base64 character may differ")
					Expect(strings.LastIndex(token, "~")).To(BeNumerically("<", i))
				}
			}
		}
	})
})
