package fleet

// dealings are what this host knows of an endpoint only once it has had to do with it. Of
// thousands of endpoints a host uses a few; the others take no room for this.
type dealings struct {
	backlog backlog
	waits   [urgencies]observedWait // of the last answer of each rank
}

// deals returns the member's dealings, to be changed.
func (m *member) deals() *dealings {
	if m.dealings == nil {
		m.dealings = &dealings{}
	}
	return m.dealings
}

// alike returns an endpoint whose words are shared with those of others that tell the same: each
// entry is read into strings of its own.
func (f *Fleet) alike(e Endpoint) Endpoint {
	e.Instance = e.name()
	if e.ID == e.Instance {
		e.ID = e.Instance
	}
	e.Service, e.Hall, e.Version = f.word(e.Service), f.word(e.Hall), f.word(e.Version)
	return e
}

// wordsMost bounds the words that are kept; there are a few services, data halls and versions.
const wordsMost = 1024

func (f *Fleet) word(text string) string {
	if known, ok := f.words[text]; ok {
		return known
	}
	if len(f.words) == wordsMost {
		clear(f.words)
	}
	f.words[text] = text
	return text
}
