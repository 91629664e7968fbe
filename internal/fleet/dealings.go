package fleet

// queueState are what this host knows of an endpoint only once it has had to do with it. Of
// thousands of endpoints a host uses a few; the others take no room for this.
type queueState struct {
	backlog backlog
	waits   [urgencies]observedWait // of the last answer of each rank
}

// ensureQueue returns the member's dealings, to be changed.
func (m *member) ensureQueue() *queueState {
	if m.queue == nil {
		m.queue = &queueState{}
	}
	return m.queue
}

// intern returns an endpoint whose words are shared with those of others that tell the same: each
// entry is read into strings of its own.
func (f *Fleet) intern(e Endpoint) Endpoint {
	e.Instance = e.name()
	if e.ID == e.Instance {
		e.ID = e.Instance
	}
	e.Service, e.Hall, e.Version = f.internString(e.Service), f.internString(e.Hall), f.internString(e.Version)
	return e
}

// maxInterned bounds the words that are kept; there are a few services, data halls and versions.
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
