package fleet

import (
	"cmp"
	"slices"
)

// pool holds the endpoints of a service, indexed for lookups; the fleet's mutex guards it.
type pool struct {
	all      []*member
	byHall   map[string][]*member
	ring     []*member // sorted by seed
	unsorted bool      // the ring needs sorting
}

// poolPosition holds the indexes of a member in the lists of its pool.
type poolPosition struct{ all, hall int }

func newPool() *pool { return &pool{byHall: map[string][]*member{}} }

func (p *pool) add(m *member) {
	m.position = poolPosition{all: len(p.all), hall: len(p.byHall[m.Hall])}
	m.poolHall = m.Hall
	p.all = append(p.all, m)
	p.byHall[m.Hall] = append(p.byHall[m.Hall], m)
	p.ring, p.unsorted = append(p.ring, m), true
}

// remove removes a member; the last member of each list moves to its index.
func (p *pool) remove(m *member) {
	last := p.all[len(p.all)-1]
	p.all[m.position.all], last.position.all = last, m.position.all
	p.all = dropLast(p.all)
	hall := p.byHall[m.poolHall]
	last = hall[len(hall)-1]
	hall[m.position.hall], last.position.hall = last, m.position.hall
	p.byHall[m.poolHall] = dropLast(hall)
	if len(hall) == 1 {
		delete(p.byHall, m.poolHall)
	}
	if p.unsorted {
		p.ring = slices.DeleteFunc(p.ring, func(other *member) bool { return other == m })
		return
	}
	if i, ok := p.find(m.seed); ok {
		for p.ring[i] != m {
			i++
		}
		p.ring = slices.Delete(p.ring, i, i+1)
	}
}

// dropLast removes the last element of a list.
func dropLast(list []*member) []*member {
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// find returns the index on the ring of a point, or of the first member after it.
func (p *pool) find(point uint64) (int, bool) {
	p.sort()
	return slices.BinarySearchFunc(p.ring, point, func(m *member, point uint64) int { return cmp.Compare(m.seed, point) })
}

// sort sorts the ring if needed. Lists are read in full, so one sort covers many new members.
func (p *pool) sort() {
	if !p.unsorted {
		return
	}
	slices.SortFunc(p.ring, func(a, b *member) int { return cmp.Compare(a.seed, b.seed) })
	p.unsorted = false
}
