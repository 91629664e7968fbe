package fleet

import (
	"cmp"
	"slices"
)

// pool is the endpoints of a service, in the orders in which they are looked up; the fleet's lock
// guards it.
type pool struct {
	all      []*member
	byHall   map[string][]*member
	ring     []*member // by seed
	unsorted bool      // the ring is out of order
}

// poolPosition is where a member stands in its pool.
type poolPosition struct{ all, hall int }

func newPool() *pool { return &pool{byHall: map[string][]*member{}} }

// add lists a member.
func (p *pool) add(m *member) {
	m.position = poolPosition{all: len(p.all), hall: len(p.byHall[m.Hall])}
	m.poolHall = m.Hall
	p.all = append(p.all, m)
	p.byHall[m.Hall] = append(p.byHall[m.Hall], m)
	p.ring, p.unsorted = append(p.ring, m), true
}

// remove takes a member out; the last ones take its places.
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

// dropLast drops the last of a list.
func dropLast(list []*member) []*member {
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// find returns where on the ring a point is, or the next one after it.
func (p *pool) find(point uint64) (int, bool) {
	p.sort()
	return slices.BinarySearchFunc(p.ring, point, func(m *member, point uint64) int { return cmp.Compare(m.seed, point) })
}

// sort brings the ring into order. Lists are read whole, so that is done once for many members.
func (p *pool) sort() {
	if !p.unsorted {
		return
	}
	slices.SortFunc(p.ring, func(a, b *member) int { return cmp.Compare(a.seed, b.seed) })
	p.unsorted = false
}
