package admission

import "slices"

// maxFormerInstances bounds the processes that formerInstances keeps. Their senders learn
// within seconds that they are gone.
const maxFormerInstances = 16

// formerInstances holds the identifiers of the processes that ran before the backend server
// beside this proxy. A request for one of them is refused here: the backend server would
// reject it, and count it as an arrival.
type formerInstances struct {
	current string
	ids     []string
}

// update records the present process, and others that ran at its address before.
func (f *formerInstances) update(current string, superseded []string) {
	if f.current != current {
		f.add(f.current)
		f.current = current
	}
	for _, id := range superseded {
		f.add(id)
	}
	// A process may start again under an identifier that it had before.
	f.ids = slices.DeleteFunc(f.ids, func(id string) bool { return id == current })
}

func (f *formerInstances) add(id string) {
	if id == "" || slices.Contains(f.ids, id) {
		return
	}
	f.ids = append(f.ids, id)
	if len(f.ids) > maxFormerInstances {
		f.ids = f.ids[1:]
	}
}

// includes reports whether the identifier is that of a former process.
func (f *formerInstances) includes(id string) bool {
	return id != "" && slices.Contains(f.ids, id)
}
