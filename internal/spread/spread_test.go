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
		withCluster(200, func(c *cluster) {
			Expect(c.store.Writes()).To(BeNumerically("<", 20))
			for _, h := range c.hosts {
				Expect(h.watcher.Hosts()).To(Equal(200))
			}
		})
	})

	It("are enlisted although a seed is down", func() {
		withCluster(20, func(c *cluster) {
			for _, h := range c.hosts {
				Expect(h.watcher.Hosts()).To(Equal(20))
			}
		})
	})

	It("all receive a change at once, with few calls to the store", func() {
		withCluster(12, func(c *cluster) {
			before := c.store.Feeds()
			for i := range 20 {
				c.store.Put("t", "k", fmt.Append(nil, i))
				time.Sleep(time.Second)
			}
			expectOnAll(c.hosts, "19", 300*time.Millisecond)
			Expect(c.store.Feeds() - before).To(BeNumerically("<", 60))
		})
	})

	It("receive a change soon when the readers of the store stop, one after the other", func() {
		withCluster(6, func(c *cluster) {
			for i := 0; len(c.hosts) > 1; i++ {
				c.hosts[0].stop()
				c.hosts = c.hosts[1:]
				c.store.Put("t", "k", fmt.Append(nil, i))
				expectOnAll(c.hosts, fmt.Sprint(i), 2*time.Second)
			}
		})
	})

	It("receive a change soon when hosts do not answer", func() {
		withCluster(5, func(c *cluster) {
			for i, h := range c.hosts[:4] {
				c.net.Cut(h.address, true)
				c.store.Put("t", "k", fmt.Append(nil, i))
				expectOnAll(c.hosts, fmt.Sprint(i), 3*time.Second)
			}
		})
	})

	It("are up to date soon after an outage of the store, and do not overload it with calls", func() {
		withCluster(12, func(c *cluster) {
			before := c.store.Feeds() + c.store.Reads()
			c.store.SetFault(standin.Busy)
			c.store.Put("t", "k", []byte("1"))
			time.Sleep(20 * time.Second)
			Expect(c.store.Feeds() + c.store.Reads() - before).To(BeNumerically("<", 12*20))
			c.store.SetFault(standin.Healthy)
			expectOnAll(c.hosts, "1", 2900*time.Millisecond)
		})
	})

	for rejected := 1; rejected <= 3; rejected++ {
		for phase := time.Duration(0); phase < 2*time.Second; phase += 400 * time.Millisecond {
			It(fmt.Sprintf("receive changes while the store rejects %d of 4 hosts, %s into a wait", rejected, phase), func() {
				withCluster(4, func(c *cluster) {
					time.Sleep(phase)
					rejectHosts(c, rejected)
				})
			})
		}
	}

	It("report a removal that is older than the history of the reader", func() {
		withCluster(6, func(c *cluster) {
			c.store.Put("t", "gone", []byte("x"))
			expectOnAll(c.hosts, "0", time.Second)
			reader := c.reader()
			// The next reader has the table from before or after the removal. In either case its
			// updates may lack the removal.
			c.store.Delete("t", "gone")
			c.hosts[reader].stop()
			c.hosts = append(c.hosts[:reader], c.hosts[reader+1:]...)
			time.Sleep(2500 * time.Millisecond)
			for i, h := range c.hosts {
				Expect(h.value("gone")).To(BeEmpty(), "host %d", i)
			}
		})
	})

	It("send a long table whole, and then its changes", func() {
		withCluster(4, func(c *cluster) {
			for i := range 600 {
				c.store.Put("t", fmt.Sprint("row-", i), []byte("x"))
			}
			time.Sleep(3 * time.Second)
			reads := c.store.Reads()
			late := c.start(9, false)
			c.hosts = append(c.hosts, late)
			time.Sleep(2 * time.Second)
			Expect(late.value("row-599")).To(Equal("x"))
			// The list of hosts takes two pages; the table would take two hundred.
			Expect(c.store.Reads() - reads).To(BeNumerically("<=", 3))
			reads = c.store.Reads()
			c.store.Put("t", "row-5", []byte("y"))
			c.store.Delete("t", "row-6")
			time.Sleep(time.Second)
			for i, h := range c.hosts {
				Expect(h.value("row-5")).To(Equal("y"), "host %d", i)
				Expect(h.value("row-6")).To(BeEmpty(), "host %d", i)
			}
			Expect(c.store.Reads()).To(Equal(reads))
		})
	})

	for silent := 1; silent <= 3; silent++ {
		for phase := time.Duration(0); phase < time.Second; phase += 200 * time.Millisecond {
			It(fmt.Sprintf("receive a change in time when the first %d stop answering at once, %s into a wait", silent, phase), func() {
				withCluster(7, func(c *cluster) {
					time.Sleep(phase)
					for range silent {
						reader := c.reader()
						c.net.Cut(c.hosts[reader].address, true)
						c.hosts[reader].rejected.Store(true)
						c.cutOff = append(c.cutOff, c.hosts[reader])
						c.hosts = append(c.hosts[:reader], c.hosts[reader+1:]...)
					}
					c.store.Put("t", "k", []byte("1"))
					expectOnAll(c.hosts, "1", 2400*time.Millisecond)
				})
			})
		}
	}

	It("start with few calls to the store, and after a restart read the table from each other", func() {
		withCluster(12, func(c *cluster) {
			writes := c.store.Writes()
			Expect(writes).To(BeNumerically("<=", 12))
			reads := c.store.Reads()
			for i := range 6 {
				c.hosts[i].stop()
				c.hosts[i] = c.start(i, false)
			}
			time.Sleep(2 * time.Second)
			for i, h := range c.hosts {
				Expect(h.value("k")).To(Equal("0"), "host %d", i)
			}
			// Each host reads the list of hosts in four pages, and a few read the table.
			Expect(c.store.Reads() - reads).To(BeNumerically("<=", 6*4+4))
			Expect(c.store.Writes()).To(Equal(writes))
		})
	})

	It("have the table soon after a power loss of all, while the host that is asked first is still down", func() {
		withCluster(8, func(c *cluster) {
			first := c.hosts[c.reader()]
			for _, h := range c.hosts {
				h.stop()
			}
			c.net.Darken(first.address, true)
			var up []*host
			for i, h := range c.hosts {
				if h != first {
					up = append(up, c.start(i, false))
				}
			}
			c.hosts = up
			expectOnAll(up, "0", 350*time.Millisecond)
		})
	})

	It("continue after the store has dropped its history", func() {
		withCluster(4, func(c *cluster) {
			c.store.SetFault(standin.DropFeedEvents)
			c.store.Put("t", "k", []byte("1"))
			c.store.Delete("t", "k")
			c.store.Put("t", "k", []byte("2"))
			c.store.Compact()
			c.store.SetFault(standin.Healthy)
			expectOnAll(c.hosts, "2", 2*time.Second)
		})
	})

	It("serve the table to a host that starts while the store is unreachable", func() {
		withCluster(3, func(c *cluster) {
			c.store.Put("t", "k", []byte("1"))
			expectOnAll(c.hosts, "1", time.Second)
			c.store.SetFault(standin.Silent)
			time.Sleep(5 * time.Second)
			late := c.start(9, false)
			c.hosts = append(c.hosts, late)
			time.Sleep(6 * time.Second)
			Expect(late.value("k")).To(Equal("1"))
			c.store.SetFault(standin.Healthy)
			c.store.Put("t", "k", []byte("2"))
			expectOnAll(c.hosts, "2", 3*time.Second)
		})
	})

	It("refuse requests of other hosts before they stop", func() {
		withCluster(4, func(c *cluster) {
			for _, h := range c.hosts[:3] {
				h.watcher.Stop()
			}
			c.store.Put("t", "k", []byte("1"))
			expectOnAll(c.hosts[3:], "1", time.Second)
			Expect(c.store.Value("hosts", "host-0")).NotTo(BeNil())
		})
	})

	It("write nothing and read little when they restart", func() {
		withCluster(4, func(c *cluster) {
			writes, reads := c.store.Writes(), c.store.Reads()
			Expect(writes).To(BeNumerically("<=", 4))
			c.hosts[0].stop()
			c.hosts[0] = c.start(0, false)
			time.Sleep(5 * time.Second)
			Expect(c.store.Writes()).To(Equal(writes))
			// The list of hosts takes two pages; the table comes from another host.
			Expect(c.store.Reads() - reads).To(BeNumerically("<=", 3))
		})
	})
})
