package config

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// changeName returns the name of the platform object that stores a revision.
// Names are zero-padded so that they sort by revision.
func changeName(revision int64) string { return fmt.Sprintf("%012d", revision) }

func encodeChange(change *apiv1.Change) (json.RawMessage, error) {
	value, err := protojson.Marshal(change)
	return value, errors.Wrap(err, "encoding a configuration change")
}

// encodedSize returns the size of a message in bytes as stored in the platform.
func encodedSize(message proto.Message) int {
	value, err := protojson.Marshal(message)
	if err != nil {
		// The message contains invalid UTF-8 and cannot be stored at all.
		return math.MaxInt
	}
	return len(value)
}

// decodeChange decodes and checks a log entry. Unknown fields, as written by a
// later version of the program, are ignored.
func decodeChange(obj objectstore.Object) (*apiv1.Change, error) {
	change := &apiv1.Change{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(obj.Value, change); err != nil {
		return nil, errors.Wrapf(err, "decoding configuration change %q; restore or delete the object", obj.Name)
	}
	if changeName(change.Revision) != obj.Name {
		return nil, errors.Newf("configuration change %q says revision %d; restore or delete the object", obj.Name, change.Revision)
	}
	for i, mutation := range change.Mutations {
		if !mutation.Delete && KeyOf(mutation.Object) != (ObjectKey{mutation.Kind, mutation.Name}) {
			return nil, errors.Newf("configuration change %q: mutation %d does not hold the object it names; restore or delete the object", obj.Name, i)
		}
	}
	return change, nil
}
