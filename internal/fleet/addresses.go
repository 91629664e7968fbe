package fleet

import "slices"

// At returns the service and the data hall of the endpoint that is listed at an address; empty if there
// is none.
func (f *Fleet) At(address string) (service, hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.addresses[address]
	if len(at) == 0 {
		return "", ""
	}
	m := at[len(at)-1]
	return m.Service, m.Hall
}

// unlistAddress removes a member from the list of its address; the caller holds mu.
func (f *Fleet) unlistAddress(m *member) {
	at := slices.DeleteFunc(f.addresses[m.Address], func(o *member) bool { return o == m })
	if len(at) == 0 {
		delete(f.addresses, m.Address)
		return
	}
	f.addresses[m.Address] = at
}
