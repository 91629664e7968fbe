package fleet

// queueState is what this host knows of the queue of an endpoint. It is allocated once this host
// sends there or receives a report of the endpoint: of thousands of endpoints a host uses a few,
// and the others need no memory for it.
type queueState struct {
	backlog backlog
	waits   [urgencies]observedWait // of the last response of each rank
}

// ensureQueue returns the member's queue state, allocated if needed, for changes.
func (m *member) ensureQueue() *queueState {
	if m.queue == nil {
		m.queue = &queueState{}
	}
	return m.queue
}

// intern returns an endpoint that shares its strings with other endpoints that have equal ones:
// each entry is decoded into strings of its own.
func (f *Fleet) intern(e Endpoint) Endpoint {
	e.Instance = e.name()
	if e.ID == e.Instance {
		e.ID = e.Instance
	}
	e.Service, e.Hall, e.Version = f.internString(e.Service), f.internString(e.Hall), f.internString(e.Version)
	return e
}

// maxInterned bounds the interned strings; there are only a few services, data halls and versions.
const maxInterned = 1024

func (f *Fleet) internString(text string) string {
	if known, ok := f.interned[text]; ok {
		return known
	}
	if len(f.interned) == maxInterned {
		clear(f.interned)
	}
	f.interned[text] = text
	return text
}
