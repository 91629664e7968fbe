package spread_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

var _ = Describe("hosts that share reads of the store", func() {
	It("are enlisted in few writes at the first start of many, and know each other", func() {
		withCluster(200, func(h *cluster) {
			Expect(h.store.Writes()).To(BeNumerically("<", 20))
			for _, n := range h.hosts {
				Expect(n.watcher.Hosts()).To(Equal(200))
			}
		})
	})

	It("are enlisted although a seed is down", func() {
		withCluster(20, func(h *cluster) {
			for _, n := range h.hosts {
				Expect(n.watcher.Hosts()).To(Equal(20))
			}
		})
	})

	It("all receive a change at once, with few calls to the store", func() {
		withCluster(12, func(h *cluster) {
			before := h.store.Feeds()
			for i := range 20 {
				h.store.Put("t", "k", fmt.Append(nil, i))
				time.Sleep(time.Second)
			}
			expectOnAll(h.hosts, "19", 300*time.Millisecond)
			Expect(h.store.Feeds() - before).To(BeNumerically("<", 60))
		})
	})

	It("receive a change soon when the readers of the store stop, one after the other", func() {
		withCluster(6, func(h *cluster) {
			for i := 0; len(h.hosts) > 1; i++ {
				h.hosts[0].stop()
				h.hosts = h.hosts[1:]
				h.store.Put("t", "k", fmt.Append(nil, i))
				expectOnAll(h.hosts, fmt.Sprint(i), 2*time.Second)
			}
		})
	})

	It("receive a change soon when hosts do not answer", func() {
		withCluster(5, func(h *cluster) {
			for i, n := range h.hosts[:4] {
				h.net.Cut(n.address, true)
				h.store.Put("t", "k", fmt.Append(nil, i))
				expectOnAll(h.hosts, fmt.Sprint(i), 3*time.Second)
			}
		})
	})

	It("are up to date soon after an outage of the store, and do not overload it with calls", func() {
		withCluster(12, func(h *cluster) {
			before := h.store.Feeds() + h.store.Reads()
			h.store.Break(standin.Busy)
			h.store.Put("t", "k", []byte("1"))
			time.Sleep(20 * time.Second)
			Expect(h.store.Feeds() + h.store.Reads() - before).To(BeNumerically("<", 12*20))
			h.store.Break(standin.Healthy)
			expectOnAll(h.hosts, "1", 2900*time.Millisecond)
		})
	})

	for rejected := 1; rejected <= 3; rejected++ {
		for phase := time.Duration(0); phase < 2*time.Second; phase += 400 * time.Millisecond {
			It(fmt.Sprintf("receive changes while the store rejects %d of 4 hosts, %s into a wait", rejected, phase), func() {
				withCluster(4, func(h *cluster) {
					time.Sleep(phase)
					rejectHosts(h, rejected)
				})
			})
		}
	}

	It("report a removal that is older than the history of the reader", func() {
		withCluster(6, func(h *cluster) {
			h.store.Put("t", "gone", []byte("x"))
			expectOnAll(h.hosts, "0", time.Second)
			reader := h.reader()
			// The next reader has the table from before or after the removal. In either case it may
			// not report the removal to others.
			h.store.Drop("t", "gone")
			h.hosts[reader].stop()
			h.hosts = append(h.hosts[:reader], h.hosts[reader+1:]...)
			time.Sleep(2500 * time.Millisecond)
			for i, n := range h.hosts {
				Expect(n.value("gone")).To(BeEmpty(), "host %d", i)
			}
		})
	})

	It("send a long table whole, and then its changes", func() {
		withCluster(4, func(h *cluster) {
			for i := range 600 {
				h.store.Put("t", fmt.Sprint("row-", i), []byte("x"))
			}
			time.Sleep(3 * time.Second)
			reads := h.store.Reads()
			late := h.start(9, false)
			h.hosts = append(h.hosts, late)
			time.Sleep(2 * time.Second)
			Expect(late.value("row-599")).To(Equal("x"))
			// The list of hosts takes two pages; the table would take two hundred.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 3))
			reads = h.store.Reads()
			h.store.Put("t", "row-5", []byte("y"))
			h.store.Drop("t", "row-6")
			time.Sleep(time.Second)
			for i, n := range h.hosts {
				Expect(n.value("row-5")).To(Equal("y"), "host %d", i)
				Expect(n.value("row-6")).To(BeEmpty(), "host %d", i)
			}
			Expect(h.store.Reads()).To(Equal(reads))
		})
	})

	for silent := 1; silent <= 3; silent++ {
		for phase := time.Duration(0); phase < time.Second; phase += 200 * time.Millisecond {
			It(fmt.Sprintf("receive a change in time when the first %d stop answering at once, %s into a wait", silent, phase), func() {
				withCluster(7, func(h *cluster) {
					time.Sleep(phase)
					for range silent {
						reader := h.reader()
						h.net.Cut(h.hosts[reader].address, true)
						h.hosts[reader].rejected.Store(true)
						h.cutOff = append(h.cutOff, h.hosts[reader])
						h.hosts = append(h.hosts[:reader], h.hosts[reader+1:]...)
					}
					h.store.Put("t", "k", []byte("1"))
					expectOnAll(h.hosts, "1", 2400*time.Millisecond)
				})
			})
		}
	}

	It("start with few calls to the store, and after a restart read the table from each other", func() {
		withCluster(12, func(h *cluster) {
			writes := h.store.Writes()
			Expect(writes).To(BeNumerically("<=", 12))
			reads := h.store.Reads()
			for i := range 6 {
				h.hosts[i].stop()
				h.hosts[i] = h.start(i, false)
			}
			time.Sleep(2 * time.Second)
			for i, n := range h.hosts {
				Expect(n.value("k")).To(Equal("0"), "host %d", i)
			}
			// Each host reads the list of hosts in four pages, and a few read the table.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 6*4+4))
			Expect(h.store.Writes()).To(Equal(writes))
		})
	})

	It("have the table soon after a power loss of all, while the host that is asked first is still down", func() {
		withCluster(8, func(h *cluster) {
			first := h.hosts[h.reader()]
			for _, n := range h.hosts {
				n.stop()
			}
			h.net.Darken(first.address, true)
			var up []*host
			for i, n := range h.hosts {
				if n != first {
					up = append(up, h.start(i, false))
				}
			}
			h.hosts = up
			expectOnAll(up, "0", 350*time.Millisecond)
		})
	})

	It("continue after the store has dropped its history", func() {
		withCluster(4, func(h *cluster) {
			h.store.Break(standin.LoseFeed)
			h.store.Put("t", "k", []byte("1"))
			h.store.Drop("t", "k")
			h.store.Put("t", "k", []byte("2"))
			h.store.Forget()
			h.store.Break(standin.Healthy)
			expectOnAll(h.hosts, "2", 2*time.Second)
		})
	})

	It("serve the table to a host that starts while the store is unreachable", func() {
		withCluster(3, func(h *cluster) {
			h.store.Put("t", "k", []byte("1"))
			expectOnAll(h.hosts, "1", time.Second)
			h.store.Break(standin.Silent)
			time.Sleep(5 * time.Second)
			late := h.start(9, false)
			h.hosts = append(h.hosts, late)
			time.Sleep(6 * time.Second)
			Expect(late.value("k")).To(Equal("1"))
			h.store.Break(standin.Healthy)
			h.store.Put("t", "k", []byte("2"))
			expectOnAll(h.hosts, "2", 3*time.Second)
		})
	})

	It("refuse requests of other hosts before they stop", func() {
		withCluster(4, func(h *cluster) {
			for _, n := range h.hosts[:3] {
				n.watcher.Stop()
			}
			h.store.Put("t", "k", []byte("1"))
			expectOnAll(h.hosts[3:], "1", time.Second)
			Expect(h.store.Value("hosts", "host-0")).NotTo(BeNil())
		})
	})

	It("write nothing and read little when they restart", func() {
		withCluster(4, func(h *cluster) {
			writes, reads := h.store.Writes(), h.store.Reads()
			Expect(writes).To(BeNumerically("<=", 4))
			h.hosts[0].stop()
			h.hosts[0] = h.start(0, false)
			time.Sleep(5 * time.Second)
			Expect(h.store.Writes()).To(Equal(writes))
			// The list of hosts takes two pages; the table comes from another host.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 3))
		})
	})
})
