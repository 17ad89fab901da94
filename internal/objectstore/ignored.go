package objectstore

import "github.com/sirupsen/logrus"

// IgnoredLog logs the objects of a kind that can't be used, once for each change of one. It
// is not safe for concurrent use. The zero value is ready.
type IgnoredLog struct{ logged map[string]ignoredObject }

// ignoredObject identifies a state of an object. Version is zero for one without a value,
// which may have the version of the response that showed it.
type ignoredObject struct {
	version Version
	cause   string
}

// Add logs that an object is ignored, unless that was logged for this version of it.
func (l *IgnoredLog) Add(object Object, cause error) {
	state := ignoredObject{version: object.Version, cause: cause.Error()}
	if len(object.Value) == 0 {
		state.version = 0
	}
	if l.logged[object.Name] == state {
		return
	}
	if l.logged == nil {
		l.logged = make(map[string]ignoredObject)
	}
	l.logged[object.Name] = state
	logrus.WithError(cause).WithFields(logrus.Fields{"kind": object.Kind, "name": object.Name, "version": object.Version}).
		Warn("entry ignored; correct or remove it in the store")
}

// Remove records that the object of a name is sound or gone.
func (l *IgnoredLog) Remove(name string) { delete(l.logged, name) }

// Retain forgets the objects that a listing lacks.
func (l *IgnoredLog) Retain(listing Listing) {
	if len(l.logged) == 0 {
		return
	}
	listed := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		listed[item.Name] = true
	}
	for name := range l.logged {
		if !listed[name] {
			delete(l.logged, name)
		}
	}
}
