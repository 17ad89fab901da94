package fleet

// Suspend excludes an endpoint from new requests until Put or Replace gets a description of
// it, since its entry in the store can't be used. It stays listed: that another writer has
// replaced its entry does not mean that it has gone, and it may write the entry again.
func (r *Registry) Suspend(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspend(id)
}

func (r *Registry) suspend(id string) {
	known, ok := r.members[id]
	if !ok || known.suspended {
		return
	}
	known.suspended = true
	r.logChange("endpoint suspended since its entry can't be used", &known.Endpoint)
}
