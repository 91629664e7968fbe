package fleet

import (
	"cmp"
	"slices"
)

// pool is the endpoints of a service, in the orders in which they are looked up; the fleet's lock
// guards it.
type pool struct {
	all   []*member
	halls map[string][]*member
	ring  []*member // by seed
	dirty bool      // the ring is out of order
}

// place is where a member stands in its pool.
type place struct{ all, hall int }

func newPool() *pool { return &pool{halls: map[string][]*member{}} }

// add lists a member.
func (p *pool) add(m *member) {
	m.place = place{all: len(p.all), hall: len(p.halls[m.Hall])}
	m.inHall = m.Hall
	p.all = append(p.all, m)
	p.halls[m.Hall] = append(p.halls[m.Hall], m)
	p.ring, p.dirty = append(p.ring, m), true
}

// remove takes a member out; the last ones take its places.
func (p *pool) remove(m *member) {
	last := p.all[len(p.all)-1]
	p.all[m.place.all], last.place.all = last, m.place.all
	p.all = cut(p.all)
	hall := p.halls[m.inHall]
	last = hall[len(hall)-1]
	hall[m.place.hall], last.place.hall = last, m.place.hall
	p.halls[m.inHall] = cut(hall)
	if len(hall) == 1 {
		delete(p.halls, m.inHall)
	}
	if p.dirty {
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

// cut drops the last of a list.
func cut(list []*member) []*member {
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
	if !p.dirty {
		return
	}
	slices.SortFunc(p.ring, func(a, b *member) int { return cmp.Compare(a.seed, b.seed) })
	p.dirty = false
}
