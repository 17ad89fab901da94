package config

import (
	"fmt"
	"regexp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

const (
	// maxChangeBytes limits the size of a change as stored. The platform
	// accepts at most 1 MiB per value.
	maxChangeBytes = 512 << 10
	// maxMutations limits the mutations of one change.
	maxMutations = 2000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "use 1 to 63 characters of a-z, 0-9 and hyphen, not beginning or ending with a hyphen"

// Validate checks a change against the snapshot at the preceding revision and
// returns the snapshot that results from it. It returns *ConflictError if an
// expected version is not the current one, and *ValidationError with all faults
// if the change or the resulting configuration is invalid. The whole resulting
// configuration is checked, so that no change can leave a dangling reference.
func Validate(before *Snapshot, mutations []*apiv1.Mutation) (*Snapshot, error) {
	v := &validator{before: before, mutations: mutations, index: make(map[ObjectKey]int)}
	v.checkMutations()
	if len(v.faults) > 0 {
		return nil, &ValidationError{Faults: v.faults}
	}
	if err := checkVersions(before, mutations); err != nil {
		return nil, err
	}
	v.after = before.after([]*apiv1.Change{{Revision: before.revision + 1, Mutations: mutations}})
	v.checkState()
	if len(v.faults) > 0 {
		return nil, &ValidationError{Faults: v.faults}
	}
	return v.after, nil
}

func checkVersions(before *Snapshot, mutations []*apiv1.Mutation) error {
	for _, mutation := range mutations {
		current := before.Object(mutation.Kind, mutation.Name).GetVersion()
		if current != mutation.ExpectedVersion {
			return &ConflictError{
				Key:      ObjectKey{mutation.Kind, mutation.Name},
				Expected: mutation.ExpectedVersion,
				Current:  current,
			}
		}
	}
	return nil
}

// validator validates one change and collects its faults.
type validator struct {
	before    *Snapshot
	after     *Snapshot
	mutations []*apiv1.Mutation
	// index maps an object to the position of its mutation.
	index  map[ObjectKey]int
	faults []Fault
}

func (v *validator) fault(field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

// objectFault reports a fault in a field of an object. The path names the
// mutation that writes the object, or the object itself if the change does not
// write it.
func (v *validator) objectFault(key ObjectKey, field, format string, args ...any) {
	path := KindName(key.Kind) + "/" + key.Name
	if i, ok := v.index[key]; ok {
		path = fmt.Sprintf("mutations[%d].object.%s", i, specName(key.Kind))
	}
	v.fault(path+"."+field, format, args...)
}

// specName returns the name of the field of Object that holds the spec of a
// kind.
func specName(kind apiv1.Kind) string {
	if kind == apiv1.Kind_KIND_VERSION {
		return "model_version"
	}
	return KindName(kind)
}

// checkMutations checks the size of the change and each mutation on its own,
// without the configuration.
func (v *validator) checkMutations() {
	if len(v.mutations) == 0 {
		v.fault("mutations", "the change is empty; name at least one object")
	}
	if len(v.mutations) > maxMutations {
		v.fault("mutations", "the change has %d mutations; split it into changes of at most %d", len(v.mutations), maxMutations)
		return
	}
	for i, mutation := range v.mutations {
		v.checkMutation(i, mutation)
	}
	if size := encodedSize(&apiv1.Change{Mutations: v.mutations}); size > maxChangeBytes {
		v.fault("mutations", "the change has %d bytes; split it into changes of at most %d", size, maxChangeBytes)
	}
}

func (v *validator) checkMutation(i int, mutation *apiv1.Mutation) {
	path := mutationPath(i)
	key := ObjectKey{mutation.GetKind(), mutation.GetName()}
	if _, known := apiv1.Kind_name[int32(key.Kind)]; !known || key.Kind == apiv1.Kind_KIND_UNSPECIFIED {
		v.fault(path+".kind", "%d is not a kind; name the kind of the object", int32(key.Kind))
	}
	if !namePattern.MatchString(key.Name) {
		v.fault(path+".name", "%q is not a valid name; %s", key.Name, nameRule)
	}
	if earlier, duplicate := v.index[key]; duplicate {
		v.fault(path, "the object is also changed by mutations[%d]; put both into one mutation", earlier)
	}
	v.index[key] = i
	v.checkContent(path, key, mutation)
}

func (v *validator) checkContent(path string, key ObjectKey, mutation *apiv1.Mutation) {
	switch {
	case mutation.GetDelete() && mutation.GetObject() != nil:
		v.fault(path+".object", "a deletion carries no object; leave one of the two out")
	case mutation.GetDelete() && mutation.ExpectedVersion == 0:
		v.fault(path+".expected_version", "a deletion names the version it was decided on; get the object first")
	case mutation.GetDelete():
	case mutation.GetObject() == nil:
		v.fault(path+".object", "the object is missing; give it, or set delete")
	case KeyOf(mutation.Object) != key:
		v.fault(path+".object", "the object is not the %s %q that the mutation names; make them agree", KindName(key.Kind), key.Name)
	}
}
